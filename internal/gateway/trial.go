package gateway

import (
	"context"
	"slices"

	"rockcleat/quarantine"
)

// A trial is the sending of one request with suspected traits while no other request with them is sent. A nil trial
// tests nothing.
type trial struct {
	trials *trials
	// number is the number of the trial at its gateway.
	number uint64
	// traits are those that no other request may have. tested are those of them that the trial tests.
	traits, tested []quarantine.Trait
	// server is the server instance that no other trial of parts uses; empty if the trial has not claimed it.
	server string
}

// claim obtains all of the claims, or none.
func (t *trial) claim(ctx context.Context, claims ...trialClaim) bool {
	if !t.trials.activate(claims) {
		return false
	}
	for i, c := range claims {
		if t.obtain(ctx, c) {
			continue
		}
		t.trials.deactivate(claims[i:])
		t.release(claims[:i]...)
		return false
	}
	return true
}

// obtain asks the owner of a claim for it.
func (t *trial) obtain(ctx context.Context, c trialClaim) bool {
	reply, ok := t.trials.call(ctx, t.request(c))
	if !ok {
		return true
	}
	if c.Server == "" {
		t.trials.table.Merge([]quarantine.Record{reply.Record})
	}
	if !reply.Granted {
		t.trials.refused(c)
	}
	return reply.Granted
}

// release gives claims up and tells their owners, without waiting for them.
func (t *trial) release(claims ...trialClaim) {
	t.trials.deactivate(claims)
	for _, c := range claims {
		r := t.request(c)
		r.Ended = true
		t.trials.clock.AfterFunc(0, func() { t.trials.call(t.trials.ctx, r) })
	}
}

// request returns a request for a claim.
func (t *trial) request(c trialClaim) trialRequest {
	r := trialRequest{Gateway: t.trials.self, trialClaim: c, Trial: t.number}
	if c.Server == "" {
		r.Record, _ = t.trials.table.Record(c.Key)
	}
	return r
}

// claims returns the claims of the trial.
func (t *trial) claims() []trialClaim {
	claims := traitClaims(t.traits)
	if t.server != "" {
		claims = append(claims, trialClaim{Server: t.server})
	}
	return claims
}

// tests reports whether the trial tests a trait.
func (t *trial) tests(x quarantine.Trait) bool { return t != nil && slices.Contains(t.tested, x) }

// recordAnswer ends the trial of the parts, which the server's answer has cleared.
func (t *trial) recordAnswer() {
	if t == nil {
		return
	}
	parts, others := partitionParts(t.traits)
	ended := trial{traits: parts, server: t.server}
	t.traits, t.server = others, ""
	t.release(ended.claims()...)
}

// partitionParts separates the parts from the other traits.
func partitionParts(traits []quarantine.Trait) (parts, others []quarantine.Trait) {
	for _, x := range traits {
		if x.Kind == quarantine.Part {
			parts = append(parts, x)
		} else {
			others = append(others, x)
		}
	}
	return parts, others
}

// end ends the trial. If it is not known yet whether the server has crashed, the trial continues for trialSettleTime.
func (t *trial) end(settled bool) {
	if t == nil {
		return
	}
	if settled {
		t.release(t.claims()...)
		return
	}
	t.trials.clock.AfterFunc(trialSettleTime, func() { t.release(t.claims()...) })
}
