package entry

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"rockcleat/clock"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Limits of clients' requests.
const (
	// maxKeyLength is the maximum length of an Idempotency-Key, in bytes.
	maxKeyLength = 255
	// routingPrefixLength is the length of the start of a prompt whose hash selects the server, so
	// that requests with the same start reach the same prefix cache.
	routingPrefixLength = 512
	// defaultRetryAfter is the Retry-After of refusals that have none of their own.
	defaultRetryAfter = time.Second
)

// A call is one client request in progress.
type call struct {
	id   string
	row  table.Row
	body []byte
	// tokens is the expected cost of the request, in tokens; 1 for a plain service.
	tokens int
	// prefix is the hash of the table row's name and the start of the prompt.
	prefix uint64
	// stream reports whether the client asked for an event stream.
	stream  bool
	arrived time.Time
	// repeatable reports whether the request may be sent again even if it may already have run.
	repeatable bool
	// key is the Idempotency-Key prefixed with the row's name; empty if there is none.
	key string
	// digest identifies all copies of the request. It is set when forwarding starts.
	digest quarantine.Key
	// response collects the response for the claim record; nil if the request has no key.
	response *responseRecord
	// buffer holds the memory for the body, until release.
	buffer *bodybuffer.Reservation
}

// release frees the memory of the body, which is not used any more.
func (c *call) release() { c.buffer.Release() }

// class returns the labels of the call's metrics.
func (c *call) class() telemetry.Class {
	return telemetry.Class{Tier: string(c.row.Tier), Organisation: c.row.Organisation}
}

// newCall assigns the request's id, checks its key and reads its body.
func (p *proxy) newCall(c echo.Context) (*call, *wire.ErrorResponse) {
	req := c.Request()
	x := &call{id: req.Header.Get(wire.HeaderRequestID), arrived: p.clock.Now(), buffer: p.buffers.Reserve()}
	if x.id == "" {
		x.id = uuid.NewString()
	}
	c.Response().Header().Set(wire.HeaderRequestID, x.id)
	key := req.Header.Get(wire.HeaderIdempotencyKey)
	if len(key) > maxKeyLength {
		return nil, badRequest("key_too_long", wire.HeaderIdempotencyKey, "an Idempotency-Key has at most 255 bytes")
	}
	x.key = key
	body, err := p.readBody(c, x.buffer)
	if err != nil {
		x.release()
	}
	switch {
	case errors.Is(err, bodybuffer.ErrNoMemory):
		return nil, &wire.ErrorResponse{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
			Code: "entry_full", Message: "this entry has no memory for another body", RetryAfter: defaultRetryAfter,
		}
	case errors.Is(err, errBodyTooLarge):
		errResp := badRequest("body_too_long", "", "the body is longer than this system takes")
		errResp.Status = http.StatusRequestEntityTooLarge
		return nil, errResp
	case err != nil:
		errResp := badRequest("body_unreadable", "", "the body did not arrive whole in time")
		errResp.Status = http.StatusRequestTimeout
		return nil, errResp
	}
	x.body = body
	return x, nil
}

// errBodyTooLarge is returned if a request body exceeds the size limit.
var errBodyTooLarge = errors.New("entry: request body exceeds the size limit")

// readBody reads the request body within the limits of size and time, into memory that is charged to buffer.
func (p *proxy) readBody(c echo.Context, buffer *bodybuffer.Reservation) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	if err := rc.SetReadDeadline(clock.SystemDeadline(p.limits.BodyTimeout.Std())); err != nil {
		return nil, eris.Wrap(err, "entry: set read deadline")
	}
	limit := p.limits.BodyBytes
	announced := c.Request().ContentLength
	if announced > limit {
		return nil, errBodyTooLarge
	}
	body, err := bodybuffer.ReadAll(io.LimitReader(c.Request().Body, limit+1), announced, buffer)
	if err != nil {
		return nil, eris.Wrap(err, "entry: read request body")
	}
	if int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, eris.Wrap(rc.SetReadDeadline(time.Time{}), "entry: clear read deadline")
}

// badRequest returns an error response with status 400; callers may replace the status.
func badRequest(code, param, message string) *wire.ErrorResponse {
	return &wire.ErrorResponse{
		Status: http.StatusBadRequest, Outcome: wire.OutcomeNotRun, Type: wire.TypeInvalidRequest,
		Code: code, Param: param, Message: message,
	}
}
