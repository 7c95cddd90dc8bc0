package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"rockcleat/dispatch"
	"rockcleat/residency"
	"rockcleat/table"
)

// lossRetention is how long a lost replica is preferred to further ones for growing demand. It ends the preference of
// models that have enough replicas without it, so that no load replaces it.
const lossRetention = 30 * time.Second

// A lostReplica is a replica in use on an engine that has vanished or ended, until a load replaces it.
type lostReplica struct {
	service, model, server string
	// use is the demand that the replica served, in the unit of residency.Demand.TokensPerSecond.
	use  float64
	lost time.Time
}

// A replicaWatch notices lost replicas. Its zero value is ready to use.
type replicaWatch struct {
	// usable holds the engines of the last step that counted for plans, by ID, with their models.
	usable map[string]usableEngine
	lost   []lostReplica
}

// A usableEngine is an engine that counts for plans.
type usableEngine struct {
	service string
	models  []string
}

// usableEngines returns the engines of a service that count for plans.
func usableEngines(s table.Service, engines []*engineState) map[string]usableEngine {
	out := make(map[string]usableEngine)
	for _, e := range engines {
		if !e.server.AcceptsRequests() || e.ended {
			continue
		}
		u := usableEngine{service: s.Name}
		for _, r := range e.residents {
			u.models = append(u.models, r.Model)
		}
		out[e.server.ID] = u
	}
	return out
}

// observe compares the usable engines of a service with those of the last step and records the replicas in use that
// were lost. demand returns the demand for a model in the unit of lostReplica.use. observe returns the replicas in
// decreasing order of their use.
func (w *replicaWatch) observe(s table.Service, engines []*engineState, demand func(model string) float64, now time.Time) []lostReplica {
	current := usableEngines(s, engines)
	before := make(map[string]int)
	for _, u := range w.usable {
		if u.service == s.Name {
			for _, m := range u.models {
				before[m]++
			}
		}
	}
	var lost []lostReplica
	for id, u := range w.usable {
		if _, ok := current[id]; ok || u.service != s.Name {
			continue
		}
		for _, m := range u.models {
			if use := demand(m) / float64(before[m]); use > 0 {
				lost = append(lost, lostReplica{service: s.Name, model: m, server: id, use: use, lost: now})
			}
		}
	}
	slices.SortFunc(lost, compareUse)
	if w.usable == nil {
		w.usable = make(map[string]usableEngine)
	}
	maps.DeleteFunc(w.usable, func(_ string, u usableEngine) bool { return u.service == s.Name })
	maps.Copy(w.usable, current)
	w.lost = slices.DeleteFunc(w.lost, func(l lostReplica) bool {
		_, isBack := current[l.server]
		return isBack || now.Sub(l.lost) > lossRetention
	})
	w.lost = append(w.lost, lost...)
	return lost
}

// compareUse orders lost replicas by decreasing use.
func compareUse(a, b lostReplica) int {
	return cmp.Or(cmp.Compare(b.use, a.use), cmp.Compare(a.model, b.model))
}

// byModel returns the highest use among the lost replicas of each model of a service, or nil if there are none.
func (w *replicaWatch) byModel(service string) map[string]float64 {
	var out map[string]float64
	for _, l := range w.lost {
		if l.service != service {
			continue
		}
		if out == nil {
			out = make(map[string]float64)
		}
		out[l.model] = max(out[l.model], l.use)
	}
	return out
}

// replaced removes the lost replica of a model that had the highest use, because a load of the model was planned. ok is
// false if there is none.
func (w *replicaWatch) replaced(service, model string) (l lostReplica, ok bool) {
	best := -1
	for i, l := range w.lost {
		if l.service == service && l.model == model && (best < 0 || l.use > w.lost[best].use) {
			best = i
		}
	}
	if best < 0 {
		return lostReplica{}, false
	}
	l = w.lost[best]
	w.lost = slices.Delete(w.lost, best, best+1)
	return l, true
}

// watchReplicas records the replicas that a service has lost since the last step, and makes it be planned in this one.
func (p *Placer) watchReplicas(s table.Service, engines []*engineState, now time.Time) {
	if p.opts.MaxCountedSlots == 0 || !p.usesEngineTime(engines) && len(engines) > 0 {
		return
	}
	lost := p.replicas.observe(s, engines, p.demand.referenceTokens, now)
	if len(lost) == 0 {
		return
	}
	delete(p.plannedAt, s.Name)
	for _, l := range lost {
		p.opts.Log.Info("replica lost", zap.String("server", l.server), zap.String("model", l.model),
			zap.Float64("ms_per_second", engineMs(l.use)))
	}
}

// noteEnded handles the servers that a gateway has found to have ended. The leader asks each of them for a report at
// once; if that fails too, the engine counts as ended. Two processes have to agree, so that the broken link of one does
// not cause loads.
func (p *Placer) noteEnded(ids []string, now time.Time) {
	for _, id := range ids {
		e := p.engines.byID[id]
		if e == nil || e.endReported || !p.isCounted(e) {
			continue
		}
		e.endReported = true
		e.nextReport = now
		p.wakeSoon()
	}
}

// isCounted reports whether an engine has few enough slots to be planned by engine time.
func (p *Placer) isCounted(e *engineState) bool {
	return dispatch.IsCounted(e.server, p.opts.MaxCountedSlots)
}

// recordReportFailure records that the leader's request for a report failed, and reports whether the engine has
// therefore ended.
func (e *engineState) recordReportFailure() (ended bool) {
	if !e.endReported || e.ended {
		return false
	}
	e.ended = true
	e.pending, e.accepted = nil, false
	return true
}

// recordAnswer records that the engine has sent a report.
func (e *engineState) recordAnswer() { e.endReported, e.ended = false, false }

// wakeSoon runs a step as soon as minStepInterval allows.
func (p *Placer) wakeSoon() { p.opts.Clock.AfterFunc(minStepInterval, p.Wake) }

// demandField returns a log field with the demand for the model of a move in milliseconds of engine time per second, if
// the service is planned by it.
func (p *Placer) demandField(s table.Service, m residency.Move) zap.Field {
	if !p.usesEngineTime(p.engines.byService[s.Name]) {
		return zap.Skip()
	}
	return zap.Float64("ms_per_second", math.Round(p.demand.msPerSecond(m.Model)))
}

// recordReplacement records that a planned move replaces a lost replica of its model, if there is one. It returns a log
// field with the time since the loss.
func (p *Placer) recordReplacement(s table.Service, m residency.Move, now time.Time) zap.Field {
	l, ok := p.replicas.replaced(s.Name, m.Model)
	if !ok {
		return zap.Skip()
	}
	return zap.Duration("lost_for", now.Sub(l.lost))
}
