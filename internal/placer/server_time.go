package placer

import (
	"math"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/residency"
	"rockcleat/servertime"
	"rockcleat/table"
)

// An engineTimeDemand is the demand for each model in milliseconds of engine time.
type engineTimeDemand struct {
	// newMs is the work requested since the last step in milliseconds, rates the rate in milliseconds per second.
	newMs map[string]float64
	rates map[string]*demandRate
	// prefillMsPerToken returns the prefill time of a model in milliseconds per prompt token, for the reports of gateways
	// that do not measure engine time.
	prefillMsPerToken func(model string) float64
}

func newEngineTimeDemand(prefillMsPerToken func(model string) float64) engineTimeDemand {
	return engineTimeDemand{newMs: make(map[string]float64), rates: make(map[string]*demandRate), prefillMsPerToken: prefillMsPerToken}
}

// add adds the work that a gateway has reported since its previous report. A gateway of a build that does not measure
// engine time reports only tokens, which are converted by the model's prefill speed.
func (t *engineTimeDemand) add(model string, current, previous dispatch.Demand) {
	if t.prefillMsPerToken == nil {
		return
	}
	ms := float64(current.WorkMs - previous.WorkMs)
	if ms <= 0 {
		ms = servertime.FromPromptTokens(float64(current.WorkTokens-previous.WorkTokens), t.prefillMsPerToken(model))
	}
	t.newMs[model] += ms
}

// inEngineTime returns the demand for each model in engine time. The rates are converted to
// prompt tokens of a model of the reference speed, so that package residency has one unit of demand.
func (d *demand) inEngineTime() map[string]residency.Demand {
	out := d.modelDemands()
	for model, x := range out {
		x.TokensPerSecond = d.referenceTokens(model)
		out[model] = x
	}
	return out
}

// referenceTokens returns the demand for a model in engine time as plans use it, in reference tokens per second.
func (d *demand) referenceTokens(model string) float64 {
	return servertime.ReferenceTokens(d.msPerSecond(model))
}

// msPerSecond returns the demand for a model in milliseconds of engine time per second.
func (d *demand) msPerSecond(model string) float64 {
	if r := d.engineTime.rates[model]; r != nil {
		return r.peak
	}
	return 0
}

// newDemandTable returns an empty demand, which measures engine time if any service may be planned by it.
func (p *Placer) newDemandTable() *demand {
	d := newDemand()
	if p.opts.MaxCountedSlots > 0 {
		d.engineTime = newEngineTimeDemand(p.speeds.estimates.Get)
	}
	return d
}

// usesEngineTime reports whether the demand for a service's models is measured in engine time.
func (p *Placer) usesEngineTime(engines []*engineState) bool {
	if p.opts.MaxCountedSlots == 0 {
		return false
	}
	servers := make([]*backend.Server, len(engines))
	for i, e := range engines {
		servers[i] = e.server
	}
	return dispatch.HasCountedServers(servers, p.opts.MaxCountedSlots)
}

// demandsFor returns the demand for the models of a service, in the unit in which the service is planned.
func (p *Placer) demandsFor(s table.Service) map[string]residency.Demand {
	if p.usesEngineTime(p.engines.byService[s.Name]) {
		return p.demand.inEngineTime()
	}
	return p.demand.modelDemands()
}

// initialStepTimes returns the base step times that a new term starts with, in milliseconds.
func (p *Placer) initialStepTimes() map[string]float64 {
	if p.opts.StepTimes == nil {
		return nil
	}
	return p.opts.StepTimes()
}

// engineMs converts demand as used in plans to milliseconds of engine time per second.
func engineMs(tokensPerSecond float64) float64 {
	return math.Round(servertime.FromReferenceTokens(tokensPerSecond))
}
