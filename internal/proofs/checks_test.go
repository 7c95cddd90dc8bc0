package proofs

import (
	"strings"

	"rockcleat/internal/lab"
	"rockcleat/internal/openai"
	"rockcleat/internal/standin"
	"rockcleat/internal/wire"
)

// checkChats checks that no answer passed on as whole is another than its own.
func (tr *trial) checkChats() (whole, cut int) {
	for _, s := range tr.all() {
		req, err := openai.ParseRequest(s.Request.Body)
		if err != nil {
			continue
		}
		want := standin.ResponseText(req, s.tokens)
		switch {
		case s.Complete && s.Outcome == wire.OutcomeAnswered && s.Text != want:
			tr.violation("request %s: whole answer is not its own: %d tokens of %d", s.ID, s.Tokens, s.tokens)
		case s.Complete && s.Outcome == wire.OutcomeAnswered:
			whole++
		case !strings.HasPrefix(want, s.Text):
			tr.violation("request %s: tokens doubled, skipped or of another answer", s.ID)
		default:
			cut++
		}
	}
	return whole, cut
}

// seen returns how often each request id started on the engines and services
// that answer.
func (tr *trial) seen() map[string]int {
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

// checkNotRun checks that what was refused as not run never started, and that
// each refusal says when to come back.
func (tr *trial) checkNotRun() (refused int) {
	ran := tr.seen()
	for _, s := range tr.all() {
		if s.Outcome != wire.OutcomeNotRun {
			continue
		}
		refused++
		if ran[s.ID] > 0 {
			tr.violation("request %s was refused as not run (%s) and ran %d times", s.ID, s.Reason, ran[s.ID])
		}
		if s.Status >= 429 && s.RetryAfter <= 0 {
			tr.violation("refusal of %s (%s) does not say when to come back", s.ID, s.Reason)
		}
	}
	return refused
}

// effects returns how often each idempotency key took effect, over all services.
func (tr *trial) effects() map[string]int {
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
