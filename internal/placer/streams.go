package placer

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/residency"
	"rockcleat/table"
)

// addVersions adds the versions that the streams of one gateway need to those of others.
func addVersions(versions map[string]bool, x dispatch.Demand) map[string]bool {
	for _, v := range x.NeededVersions() {
		if versions == nil {
			versions = make(map[string]bool)
		}
		versions[v] = true
	}
	return versions
}

// streamVersions returns the software versions that streams of a model need.
func (d *demand) streamVersions(model string) map[string]bool {
	var versions map[string]bool
	for _, g := range d.gateways {
		for name, x := range g.demands {
			if x.StreamVersions != "" && backend.ParseAdapter(name).Model == model {
				versions = addVersions(versions, x)
			}
		}
	}
	return versions
}

// interruptsStreams reports whether the order that an engine gets next is an unload that would leave streams without a
// server of their software version. Streams may have begun since the move was planned, until gateways knew of it.
func (p *Placer) interruptsStreams(s table.Service, e *engineState, now time.Time) bool {
	o := e.pending[0]
	if !o.Unload || !hasOtherVersion(p.engines.byService[s.Name], e) {
		return false
	}
	versions := p.demand.streamVersions(o.Model)
	if len(versions) == 0 {
		return false
	}
	return residency.InterruptsStreams(p.engineViews(p.engines.byService[s.Name], now), e.server.ID, o.Model, e.plannedLoad(), versions)
}

// hasOtherVersion reports whether an engine runs another software version than a given one.
func hasOtherVersion(engines []*engineState, e *engineState) bool {
	for _, other := range engines {
		if other.server.Version != e.server.Version {
			return true
		}
	}
	return false
}

// plannedLoad returns the model that an engine is to load, or an empty string if there is none or the load was abandoned.
func (e *engineState) plannedLoad() string {
	if n := len(e.pending); n > 0 && !e.pending[n-1].Unload {
		return e.pending[n-1].Model
	}
	return ""
}

// interruptedField returns a log field with the evicted models whose streams cannot go on meanwhile, if there are any.
func interruptedField(m residency.Move) zap.Field {
	if len(m.Interrupted) == 0 {
		return zap.Skip()
	}
	return zap.Strings("interrupts", m.Interrupted)
}

// withdrawMove removes the pending orders of an engine, none of which is in progress. The engine is used for its models
// again, and planned anew.
func (p *Placer) withdrawMove(e *engineState) {
	p.opts.Log.Info("move withdrawn", zap.String("server", e.server.ID), zap.String("unload", e.pending[0].Model),
		zap.String("model", e.plannedLoad()))
	e.pending = nil
}
