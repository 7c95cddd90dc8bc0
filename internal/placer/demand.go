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

// Time constants of measured demand. It rises fast and falls slowly, so that replicas survive a short lull. On the
// users' sites demand moves within 4 to 6 s.
const (
	demandRiseTime = 1500 * time.Millisecond
	demandFallTime = 8 * time.Second
)

// A gateway is the leader's view of one gateway.
type gateway struct {
	// report is the gateway's last report without Demands. demands accumulates those of all its reports.
	report     Report
	demands    map[string]dispatch.Demand
	reportedAt time.Time
}

// A demandRate is a moving average of the work requested of one model, in tokens per second or milliseconds of engine
// time per second.
type demandRate struct {
	// smoothed is an exponential moving average with time constant demandRiseTime. peak is its maximum, which
	// decays with time constant demandFallTime.
	smoothed, peak float64
}

// update adds the work of one step.
func (r *demandRate) update(work float64, step time.Duration) {
	current := work / step.Seconds()
	r.smoothed += (current - r.smoothed) * (1 - math.Exp(-step.Seconds()/demandRiseTime.Seconds()))
	r.peak = max(r.smoothed, r.peak*math.Exp(-step.Seconds()/demandFallTime.Seconds()))
}

// A demand aggregates the reports of all gateways.
type demand struct {
	gateways map[string]*gateway
	// awaited holds the gateways known before the term that have not reported in it yet. awaitedSince is when
	// they were added.
	awaited      map[string]Gateway
	awaitedSince time.Time
	// newTokens is the work requested since the last step, in tokens by model.
	newTokens map[string]float64
	rates     map[string]*demandRate
	// engineTime is the same in engine time. It stays empty if no service is planned by it.
	engineTime engineTimeDemand
	// adapterLastUsed is when each adapter was last requested.
	adapterLastUsed map[backend.Adapter]time.Time
	// loads is the total load of all gateways at each server.
	loads loadTotals
	// excessPercents is the sum of Report.ExcessPercent of all gateways.
	excessPercents int
}

func newDemand() *demand {
	return &demand{
		gateways: make(map[string]*gateway), awaited: make(map[string]Gateway), newTokens: make(map[string]float64),
		rates: make(map[string]*demandRate), adapterLastUsed: make(map[backend.Adapter]time.Time), loads: newLoadTotals(),
	}
}

// apply adds a gateway's report. The first report of a gateway and a full report only set the baseline of its
// counters.
func (d *demand) apply(r Report, now time.Time) {
	delete(d.awaited, r.GatewayID)
	g := d.gateways[r.GatewayID]
	if g == nil || r.Full {
		d.reset(g, r, now)
		return
	}
	d.updateTotals(g.report, r)
	for name, current := range r.Demands {
		previous := g.demands[name]
		if current.Arrived < previous.Arrived {
			// The counter went back: the gateway has restarted.
			previous = dispatch.Demand{}
		}
		if current.Arrived == previous.Arrived {
			continue
		}
		a := backend.ParseAdapter(name)
		d.newTokens[a.Model] += float64(current.WorkTokens - previous.WorkTokens)
		d.engineTime.add(a.Model, current, previous)
		if a.Name != "" {
			d.adapterLastUsed[a] = now
		}
	}
	g.apply(r, now)
}

// reset replaces the state of a gateway with a report. previous is the state so far, or nil.
func (d *demand) reset(previous *gateway, r Report, now time.Time) {
	if previous != nil {
		d.updateTotals(previous.report, Report{})
	}
	g := &gateway{demands: make(map[string]dispatch.Demand)}
	d.gateways[r.GatewayID] = g
	d.updateTotals(Report{}, r)
	g.apply(r, now)
}

// updateTotals replaces a gateway's last report by the current one in the totals of all gateways.
func (d *demand) updateTotals(last, current Report) {
	d.loads.update(last.Loads, current.Loads)
	d.excessPercents += current.ExcessPercent - last.ExcessPercent
}

// excessOfOthers returns the mean of Report.ExcessPercent without the gateway that sent a report, which has been applied.
func (d *demand) excessOfOthers(r Report) int {
	return (d.excessPercents - r.ExcessPercent) / max(len(d.gateways)-1, 1)
}

// apply stores a report. Demands that it omits are unchanged.
func (g *gateway) apply(r Report, now time.Time) {
	maps.Copy(g.demands, r.Demands)
	g.report, g.reportedAt = r, now
	g.report.Demands = nil
}

// addAwaited adds gateways known before the term, until they report or time out. Without them the list would
// grow with each first report of the term, and the ownership of engines and limits would move between the few
// gateways listed so far.
func (d *demand) addAwaited(gateways []Gateway, now time.Time) {
	d.awaitedSince = now
	for _, g := range gateways {
		if d.gateways[g.ID] == nil {
			d.awaited[g.ID] = g
		}
	}
}

// listGateways returns the gateways sorted by ID, and a hash of their IDs and addresses as the version of the
// list.
func (d *demand) listGateways() ([]Gateway, uint64) {
	gateways := make([]Gateway, 0, len(d.gateways))
	for _, g := range d.gateways {
		gateways = append(gateways, Gateway{
			Gateway: dispatch.Gateway{ID: g.report.GatewayID, Hall: g.report.Hall, Cores: g.report.Cores}, Addr: g.report.Addr,
		})
	}
	gateways = slices.AppendSeq(gateways, maps.Values(d.awaited))
	slices.SortFunc(gateways, func(x, y Gateway) int { return strings.Compare(x.ID, y.ID) })
	h := fnv.New64a()
	for _, g := range gateways {
		// Writes to a hash never fail.
		_, _ = io.WriteString(h, g.ID+"\x00"+g.Addr+"\x00")
	}
	return gateways, h.Sum64()
}

// step updates the rates with the work of the elapsed time.
func (d *demand) step(elapsed time.Duration) {
	updateRates(d.rates, d.newTokens, elapsed)
	updateRates(d.engineTime.rates, d.engineTime.newMs, elapsed)
}

// updateRates adds the work of one step to the rate of each model and clears it.
func updateRates(rates map[string]*demandRate, work map[string]float64, elapsed time.Duration) {
	for model := range work {
		if rates[model] == nil {
			rates[model] = &demandRate{}
		}
	}
	for model, r := range rates {
		r.update(work[model], elapsed)
	}
	clear(work)
}

// removeUnresponsive removes gateways, awaited ones included, that have not reported within the timeout.
func (d *demand) removeUnresponsive(now time.Time, timeout time.Duration) {
	if now.Sub(d.awaitedSince) > timeout {
		clear(d.awaited)
	}
	for id, g := range d.gateways {
		if now.Sub(g.reportedAt) > timeout {
			d.updateTotals(g.report, Report{})
			delete(d.gateways, id)
		}
	}
}

// modelDemands returns the demand for each model.
func (d *demand) modelDemands() map[string]residency.Demand {
	out := make(map[string]residency.Demand)
	for model, r := range d.rates {
		out[model] = residency.Demand{TokensPerSecond: r.peak}
	}
	for _, g := range d.gateways {
		for name, x := range g.demands {
			model := backend.ParseAdapter(name).Model
			out[model] = addDemand(out[model], x)
		}
	}
	return out
}

// addDemand adds one gateway's demand for a model or one of its adapters to the model's total.
func addDemand(sum residency.Demand, x dispatch.Demand) residency.Demand {
	objective := time.Duration(x.ObjectiveMs) * time.Millisecond
	if !sum.Requested || objective < sum.Objective {
		sum.Objective = objective
	}
	sum.Requested = true
	sum.Waiting += x.Waiting
	sum.StreamVersions = addVersions(sum.StreamVersions, x)
	return sum
}

// An adapterDemand is the demand for the adapters of a service.
type adapterDemand struct {
	// waiting lists the adapters that requests are waiting for, running counts the running requests.
	waiting []backend.Adapter
	running map[backend.Adapter]int
	// streamVersions holds the software versions that streams need.
	streamVersions map[backend.Adapter]map[string]bool
}

// adapterDemand returns the demand for the adapters of a service.
func (d *demand) adapterDemand(service string) adapterDemand {
	seen := make(map[backend.Adapter]bool)
	sum := adapterDemand{running: make(map[backend.Adapter]int), streamVersions: make(map[backend.Adapter]map[string]bool)}
	for _, g := range d.gateways {
		for name, x := range g.demands {
			a := backend.ParseAdapter(name)
			if a.Name == "" || x.Service != service {
				continue
			}
			sum.running[a] += x.Running
			if x.StreamVersions != "" {
				sum.streamVersions[a] = addVersions(sum.streamVersions[a], x)
			}
			if x.Waiting > 0 && !seen[a] {
				seen[a] = true
				sum.waiting = append(sum.waiting, a)
			}
		}
	}
	return sum
}
