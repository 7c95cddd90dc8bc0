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

// A responseRecord collects a response for the claim record.
type responseRecord struct {
	response   claim.Response
	bodyLength int
}

// begin records the status and the content type.
func (r *responseRecord) begin(status int, contentType string) {
	r.response.Status, r.response.ContentType = status, contentType
}

// write appends to the body, up to claim.MaxBody bytes.
func (r *responseRecord) write(b []byte) {
	r.bodyLength += len(b)
	if r.bodyLength <= claim.MaxBody {
		r.response.Body = append(r.response.Body, b...)
	}
}

// record returns the response to store, without a body if it exceeds claim.MaxBody.
func (r *responseRecord) record() *claim.Response {
	stored := r.response
	stored.Complete = r.bodyLength <= claim.MaxBody
	if !stored.Complete {
		stored.Body = nil
	}
	return &stored
}

// runClaimed claims the request's key and forwards the request if the key is free. Otherwise it
// responds from the existing record.
func (p *proxy) runClaimed(c echo.Context, x *call) error {
	fingerprint := rendezvous.Key(c.Request().Method + "\x00" + c.Request().URL.RequestURI() + "\x00" + string(x.body))
	r := wire.ClaimRequest{Key: x.key, Fingerprint: fingerprint, Attempt: uuid.NewString()}
	resp, err := p.claims.claim(c.Request().Context(), r)
	if err != nil {
		p.log.Warn("claim failed; request not run", zap.String("request", x.id), zap.Error(err))
		p.claims.finish(wire.ClaimRequest{Key: x.key, Attempt: r.Attempt, NotRun: true})
		p.metrics.Request(x.class(), string(wire.OutcomeNotRun))
		return wire.ErrorResponse{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "claim_not_recorded", RetryAfter: defaultRetryAfter,
			Message: "the record that keeps this request from running twice could not be made; it was not run",
		}.Write(c)
	}
	if !resp.Fresh {
		return p.replay(c, x, resp.Record, fingerprint)
	}
	x.response = &responseRecord{}
	finishRequest := r
	finish := func(o wire.Outcome) {
		switch o {
		case wire.OutcomeAnswered:
			finishRequest.Answer = x.response.record()
			p.claims.finish(finishRequest)
		case wire.OutcomeNotRun:
			finishRequest.NotRun = true
			p.claims.finish(finishRequest)
		}
	}
	p.forwardThen(c, x, finish)
	return nil
}

// replay responds to a request whose key already has a record.
func (p *proxy) replay(c echo.Context, x *call, r claim.Record, fingerprint uint64) error {
	if r.Fingerprint != fingerprint {
		errResp := badRequest("key_reused", wire.HeaderIdempotencyKey, "the Idempotency-Key was used for another request")
		errResp.Status = http.StatusUnprocessableEntity
		return errResp.Write(c)
	}
	if r.State == claim.StateDone && r.Response != nil && r.Response.Complete {
		h := c.Response().Header()
		h.Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		h.Set(wire.HeaderReplayed, "true")
		p.metrics.Request(x.class(), "replayed")
		return c.Blob(r.Response.Status, r.Response.ContentType, r.Response.Body)
	}
	errResp := wire.ErrorResponse{
		Status: http.StatusConflict, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "in_progress",
		Message:    "a request with this key was sent and has no recorded answer; it will not be sent again",
		RetryAfter: defaultRetryAfter,
	}
	if r.State == claim.StateDone {
		errResp.Outcome, errResp.Code, errResp.RetryAfter = wire.OutcomeAnswered, "already_answered", 0
		errResp.Message = "the request with this key was answered; the answer was too long to be kept"
	}
	return errResp.Write(c)
}
