package placer

import (
	"hash/fnv"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/residency"
)

// How measured demand follows what is asked: it rises soon and falls slowly, so that
// replicas stay through a lull. Demand moves within 4 to 6 s on the users' sites.
const (
	// demandRiseTime is the time constant of a rise.
	demandRiseTime = 1500 * time.Millisecond
	// demandFallTime is the time constant of a fall.
	demandFallTime = 8 * time.Second
)

// A gateway holds the leader's view of one gateway.
type gateway struct {
	// report is its last one without Demands, which demands adds up.
	report     Report
	demands    map[string]dispatch.Demand
	reportedAt time.Time
}

// A demandRate follows the work asked of one model, in tokens per second.
type demandRate struct {
	// risen follows the work within demandRiseTime; held falls no faster than
	// demandFallTime allows.
	risen, held float64
}

// update counts the work of one step.
func (r *demandRate) update(tokens float64, step time.Duration) {
	now := tokens / step.Seconds()
	r.risen += (now - r.risen) * (1 - math.Exp(-step.Seconds()/demandRiseTime.Seconds()))
	r.held = max(r.risen, r.held*math.Exp(-step.Seconds()/demandFallTime.Seconds()))
}

// A demand sums up what gateways report.
type demand struct {
	gateways map[string]*gateway
	// former are those that this process knew before it led and that have not reported yet, since when.
	former      map[string]Gateway
	formerSince time.Time
	// newTokens is the work asked for since the last step, by model.
	newTokens map[string]float64
	rates     map[string]*demandRate
	// adapterLastUsed is when each adapter was last asked for.
	adapterLastUsed map[backend.Adapter]time.Time
	// loads sums up what gateways have at servers.
	loads loads
}

func newDemand() *demand {
	return &demand{
		gateways: make(map[string]*gateway), former: make(map[string]Gateway), newTokens: make(map[string]float64),
		rates: make(map[string]*demandRate), adapterLastUsed: make(map[backend.Adapter]time.Time), loads: newLoads(),
	}
}

// apply counts what is new in a report. The first report of a gateway, and a full one, only
// show where its counts stand.
func (d *demand) apply(r Report, now time.Time) {
	delete(d.former, r.GatewayID)
	g := d.gateways[r.GatewayID]
	if g == nil || r.Full {
		d.reset(g, r, now)
		return
	}
	d.loads.update(g.report.Loads, r.Loads)
	for name, x := range r.Demands {
		before := g.demands[name]
		if x.Arrived < before.Arrived {
			// The gateway has started anew.
			before = dispatch.Demand{}
		}
		if x.Arrived == before.Arrived {
			continue
		}
		a := backend.ParseAdapter(name)
		d.newTokens[a.Model] += float64(x.WorkTokens - before.WorkTokens)
		if a.Name != "" {
			d.adapterLastUsed[a] = now
		}
	}
	g.apply(r, now)
}

// reset takes a report as the whole state of its gateway; before is its last state,
// or nil.
func (d *demand) reset(before *gateway, r Report, now time.Time) {
	if before != nil {
		d.loads.update(before.report.Loads, nil)
	}
	g := &gateway{demands: make(map[string]dispatch.Demand)}
	d.gateways[r.GatewayID] = g
	d.loads.update(nil, r.Loads)
	g.apply(r, now)
}

// apply keeps what a report says; demands that it leaves out are as they were.
func (g *gateway) apply(r Report, now time.Time) {
	maps.Copy(g.demands, r.Demands)
	g.report, g.reportedAt = r, now
	g.report.Demands = nil
}

// remember makes gateways that were known before the term count until they report, or until as much time has
// passed as without reports: the first reports of a term come within a report's interval, and a list that grew
// by them passed the engines and limits that gateways own around among those few.
func (d *demand) remember(gateways []Gateway, now time.Time) {
	d.formerSince = now
	for _, g := range gateways {
		if d.gateways[g.ID] == nil {
			d.former[g.ID] = g
		}
	}
}

// list returns the gateways in the order of their names, and a version that is the same for
// the same gateways.
func (d *demand) list() ([]Gateway, uint64) {
	list := make([]Gateway, 0, len(d.gateways))
	for _, g := range d.gateways {
		list = append(list, Gateway{
			Gateway: dispatch.Gateway{ID: g.report.GatewayID, Hall: g.report.Hall}, Addr: g.report.Addr,
		})
	}
	list = slices.AppendSeq(list, maps.Values(d.former))
	slices.SortFunc(list, func(x, y Gateway) int { return strings.Compare(x.ID, y.ID) })
	h := fnv.New64a()
	for _, g := range list {
		// Writing to a hash never fails.
		_, _ = io.WriteString(h, g.ID+"\x00"+g.Addr+"\x00")
	}
	return list, h.Sum64()
}

// step moves the rates on by a time.
func (d *demand) step(elapsed time.Duration) {
	for model := range d.newTokens {
		if d.rates[model] == nil {
			d.rates[model] = &demandRate{}
		}
	}
	for model, r := range d.rates {
		r.update(d.newTokens[model], elapsed)
	}
	clear(d.newTokens)
}

// forget drops gateways that have not reported for a time.
func (d *demand) forget(now time.Time, timeout time.Duration) {
	if now.Sub(d.formerSince) > timeout {
		clear(d.former)
	}
	for id, g := range d.gateways {
		if now.Sub(g.reportedAt) > timeout {
			d.loads.update(g.report.Loads, nil)
			delete(d.gateways, id)
		}
	}
}

// modelDemands returns what is asked of each model.
func (d *demand) modelDemands() map[string]residency.Demand {
	out := make(map[string]residency.Demand)
	for model, r := range d.rates {
		out[model] = residency.Demand{TokensPerSecond: r.held}
	}
	for _, g := range d.gateways {
		for name, x := range g.demands {
			model := backend.ParseAdapter(name).Model
			out[model] = addDemand(out[model], x)
		}
	}
	return out
}

// addDemand adds to a model's demand what one gateway reports of it or of an adapter.
func addDemand(sum residency.Demand, x dispatch.Demand) residency.Demand {
	objective := time.Duration(x.ObjectiveMs) * time.Millisecond
	if !sum.Asked || objective < sum.Objective {
		sum.Objective = objective
	}
	sum.Asked = true
	sum.Waiting += x.Waiting
	return sum
}

// adapters returns the adapters of a service that are waited for, and how many requests use
// each.
func (d *demand) adapters(service string) (waited []backend.Adapter, running map[backend.Adapter]int) {
	seen := make(map[backend.Adapter]bool)
	running = make(map[backend.Adapter]int)
	for _, g := range d.gateways {
		for name, x := range g.demands {
			a := backend.ParseAdapter(name)
			if a.Name == "" || x.Service != service {
				continue
			}
			running[a] += x.Running
			if x.Waiting > 0 && !seen[a] {
				seen[a] = true
				waited = append(waited, a)
			}
		}
	}
	return waited, running
}
