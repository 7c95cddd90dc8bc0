package proofs

import (
	"strings"

	"rockcleat/internal/lab"
	"rockcleat/internal/openai"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
)

// checkCompletions checks that each complete response is the expected one and that every other
// response is a prefix of it. It returns the numbers of both.
func (tr *trial) checkCompletions() (complete, incomplete int) {
	for _, s := range tr.sentRequests() {
		req, err := openai.ParseRequest(s.Request.Body)
		if err != nil {
			continue
		}
		want := standin.ResponseText(req, s.wantTokens)
		switch {
		case s.Complete && s.Outcome == wire.OutcomeAnswered && s.Text != want:
			tr.recordViolation("request %s: whole answer is not its own: %d tokens of %d", s.ID, s.Tokens, s.wantTokens)
		case s.Complete && s.Outcome == wire.OutcomeAnswered:
			complete++
		case !strings.HasPrefix(want, s.Text):
			tr.recordViolation("request %s: tokens doubled, skipped or of another answer", s.ID)
		default:
			incomplete++
		}
	}
	return complete, incomplete
}

// startCounts returns how often each request ID started on the running engines and took effect
// on the running services.
func (tr *trial) startCounts() map[string]int {
	total := make(map[string]int)
	for _, b := range tr.Backends {
		if b.Server.Exited() {
			continue
		}
		if b.Service {
			var e standin.EffectsResponse
			tr.must(lab.Fetch(tr.ctx, b.URL+"/effects", &e))
			for id, n := range e.Requests {
				total[id] += n
			}
			continue
		}
		var e standin.SeenResponse
		tr.must(lab.Fetch(tr.ctx, b.URL+"/seen", &e))
		for id, n := range e.Seen {
			total[id] += n
		}
	}
	return total
}

// checkNotRun checks that no request refused as not run has started, and that each refusal with
// status 429 or above has a retry delay. It returns the number of refusals.
func (tr *trial) checkNotRun() (refused int) {
	starts := tr.startCounts()
	for _, s := range tr.sentRequests() {
		if s.Outcome != wire.OutcomeNotRun {
			continue
		}
		refused++
		if starts[s.ID] > 0 {
			tr.recordViolation("request %s was refused as not run (%s) and ran %d times", s.ID, s.Reason, starts[s.ID])
		}
		if s.Status >= 429 && s.RetryAfter <= 0 {
			tr.recordViolation("refusal of %s (%s) does not say when to come back", s.ID, s.Reason)
		}
	}
	return refused
}

// effectCounts returns how often each idempotency key took effect on all services together.
func (tr *trial) effectCounts() map[string]int {
	total := make(map[string]int)
	for _, b := range tr.Backends {
		if !b.Service {
			continue
		}
		var e standin.EffectsResponse
		tr.must(lab.Fetch(tr.ctx, b.URL+"/effects", &e))
		for k, n := range e.Effects {
			total[k] += n
		}
	}
	return total
}
