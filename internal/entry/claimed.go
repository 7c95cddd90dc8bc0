package entry

import (
	"net/http"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/claim"
	"rockcleat/internal/wire"
	"rockcleat/rendezvous"
)

// An answerRecord collects the start of an answer for the claim's record.
type answerRecord struct {
	answer claim.Answer
	length int
}

func (a *answerRecord) begin(status int, contentType string) {
	a.answer.Status, a.answer.ContentType = status, contentType
}

func (a *answerRecord) write(b []byte) {
	a.length += len(b)
	if a.length <= claim.MaxBody {
		a.answer.Body = append(a.answer.Body, b...)
	}
}

// record returns what is kept of the answer.
func (a *answerRecord) record() *claim.Answer {
	r := a.answer
	r.Whole = a.length <= claim.MaxBody
	if !r.Whole {
		r.Body = nil
	}
	return &r
}

// runClaimed sends a request that may not be repeated, if its key is free.
func (e *Entry) runClaimed(c echo.Context, x *call) error {
	print := rendezvous.Key(c.Request().Method + "\x00" + c.Request().URL.RequestURI() + "\x00" + string(x.body))
	r := wire.ClaimRequest{Key: x.key, Fingerprint: print, Attempt: uuid.NewString()}
	a, err := e.claims.claim(c.Request().Context(), r)
	if err != nil {
		e.log.Warn("claim not recorded", zap.String("request", x.id), zap.Error(err))
		e.claims.finish(wire.ClaimRequest{Key: x.key, Attempt: r.Attempt, Free: true})
		e.metrics.Request(x.class(), string(wire.OutcomeNotRun))
		return wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "claim_not_recorded", RetryAfter: retrySoon,
			Message: "the record that keeps this request from running twice could not be made; it was not run",
		}.Write(c)
	}
	if !a.Fresh {
		return e.replay(c, x, a.Record, print)
	}
	x.answer = &answerRecord{}
	done := r
	finish := func(o wire.Outcome) {
		switch o {
		case wire.OutcomeAnswered:
			done.Answer = x.answer.record()
			e.claims.finish(done)
		case wire.OutcomeNotRun:
			done.Free = true
			e.claims.finish(done)
		}
	}
	e.forwardThen(c, x, finish)
	return nil
}

// replay answers a request whose key has a record already.
func (e *Entry) replay(c echo.Context, x *call, r claim.Record, print uint64) error {
	if r.Fingerprint != print {
		f := badRequest("key_reused", wire.HeaderIdempotencyKey, "the Idempotency-Key was used for another request")
		f.Status = http.StatusUnprocessableEntity
		return f.Write(c)
	}
	if r.State == claim.StateDone && r.Answer != nil && r.Answer.Whole {
		h := c.Response().Header()
		h.Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		h.Set(wire.HeaderReplayed, "true")
		e.metrics.Request(x.class(), "replayed")
		return c.Blob(r.Answer.Status, r.Answer.ContentType, r.Answer.Body)
	}
	f := wire.Failure{
		Status: http.StatusConflict, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "in_progress",
		Message:    "a request with this key was sent and has no recorded answer; it will not be sent again",
		RetryAfter: retrySoon,
	}
	if r.State == claim.StateDone {
		f.Outcome, f.Code, f.RetryAfter = wire.OutcomeAnswered, "already_answered", 0
		f.Message = "the request with this key was answered; the answer was too long to be kept"
	}
	return f.Write(c)
}
