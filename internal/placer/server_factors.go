package placer

import (
	"maps"

	"rockcleat/backend"
	"rockcleat/lease"
	"rockcleat/serverspeed"
)

// serverFactors estimates the servers' factors from the samples of all gateways. The estimates are kept across terms.
type serverFactors struct {
	estimator *serverspeed.Estimator
	// noticed holds the published factors that OnFactorChange was called with, noticedVersion their version.
	noticed        map[string]float64
	noticedVersion int64
	// retained is the list of servers of the last call of retain.
	retained *backend.Snapshot
}

// newServerFactors returns the factors of the servers in the registry, or nil if they are not learned.
func newServerFactors(o Options) *serverFactors {
	if !o.LearnSpeeds {
		return nil
	}
	return &serverFactors{noticed: make(map[string]float64), estimator: serverspeed.NewEstimator(func(id string) (string, bool) {
		s, ok := o.Registry.Snapshot().Server(id)
		if !ok {
			return "", false
		}
		return s.Service, true
	})}
}

// beginFactorsTerm starts the versions of a new term with the factors that this process knows.
func (p *Placer) beginFactorsTerm(token lease.Token) {
	if p.factors == nil {
		return
	}
	var known map[string]float64
	if p.opts.ServerFactors != nil {
		known = p.opts.ServerFactors()
	}
	p.factors.estimator.BeginTerm(firstVersion(int64(token)), known)
	p.factors.noticedVersion = 0
}

// exchangeFactors adds the samples of a report and sets the changed factors in its reply. A gateway that does not use
// factors gets none.
func (p *Placer) exchangeFactors(r Report, reply *Reply) {
	if p.factors == nil || r.FactorsVersion == 0 {
		return
	}
	for _, x := range r.ServerSamples {
		p.factors.estimator.Observe(x)
	}
	reply.Factors, reply.FactorsVersion = p.factors.estimator.ChangedSince(r.FactorsVersion)
	p.noticeFactors()
}

// noticeFactors calls OnFactorChange for each server whose published factor has become 1 or other than 1.
func (p *Placer) noticeFactors() {
	f := p.factors
	changed, version := f.estimator.ChangedSince(f.noticedVersion)
	f.noticedVersion = version
	for id, factor := range changed {
		previous, ok := f.noticed[id]
		if !ok {
			previous = 1
		}
		f.noticed[id] = factor
		if factor == 1 {
			delete(f.noticed, id)
		}
		if (previous == 1) != (factor == 1) && p.opts.OnFactorChange != nil {
			p.opts.OnFactorChange(id, factor)
		}
	}
}

// retainFactors drops the factors of servers that are not listed any more.
func (p *Placer) retainFactors(s *backend.Snapshot) {
	if p.factors == nil || p.factors.retained == s {
		return
	}
	p.factors.retained = s
	p.factors.estimator.Retain(s.Has)
	maps.DeleteFunc(p.factors.noticed, func(id string, _ float64) bool { return !s.Has(id) })
}

// timeFactor returns the factor of a server; 1 if it is not known.
func (p *Placer) timeFactor(server string) float64 {
	if p.factors == nil {
		return 1
	}
	return p.factors.estimator.Factor(server)
}
