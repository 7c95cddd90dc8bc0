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

// releaseAll gives all claims of the trial up.
func (t *trial) releaseAll() {
	t.release(traitClaims(t.traits)...)
	t.releaseServer()
}

// releaseServer gives the claim to the server up if the trial has it.
func (t *trial) releaseServer() {
	if t.server != "" {
		t.release(trialClaim{Server: t.server})
		t.server = ""
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

// tests reports whether the trial tests a trait.
func (t *trial) tests(x quarantine.Trait) bool { return t != nil && slices.Contains(t.tested, x) }

// recordAnswer ends the trial of the parts, which the server's answer has cleared.
func (t *trial) recordAnswer() {
	if t == nil {
		return
	}
	parts, others := partitionParts(t.traits)
	t.release(traitClaims(parts)...)
	t.releaseServer()
	t.traits = others
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
		t.releaseAll()
		return
	}
	t.trials.clock.AfterFunc(trialSettleTime, t.releaseAll)
}
