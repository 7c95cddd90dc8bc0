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
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Bounds of callers' requests.
const (
	// maxKey is the longest Idempotency-Key, in bytes.
	maxKey = 255
	// prefixBytes is how much of a prompt decides which servers share its cache
	// (docs/design/0004).
	prefixBytes = 512
	// retrySoon is when to come back after a refusal that gives no time of its own.
	retrySoon = time.Second
)

// A call is one caller's request on its way.
type call struct {
	id   string
	row  table.Row
	body []byte
	// tokens is the expected cost.
	tokens int
	// prefix is the hash of the start of the prompt.
	prefix uint64
	// stream says that the caller asks for a stream of events.
	stream  bool
	arrived time.Time
	// repeatable says that the request may be sent again although it may have run.
	repeatable bool
	// key is the scoped Idempotency-Key, empty if there is none.
	key string
	// digest is the same for all copies of the request, set once the row is known.
	digest quarantine.Key
	// answer collects the answer for the record of a request with a key.
	answer *answerRecord
}

// class returns what the call counts for in the metrics.
func (c *call) class() telemetry.Class {
	return telemetry.Class{Tier: string(c.row.Tier), Organisation: c.row.Organisation}
}

// newCall reads the request's body and names it.
func (p *proxy) newCall(c echo.Context) (*call, *wire.Failure) {
	req := c.Request()
	x := &call{id: req.Header.Get(wire.HeaderRequestID), arrived: p.clock.Now()}
	if x.id == "" {
		x.id = uuid.NewString()
	}
	c.Response().Header().Set(wire.HeaderRequestID, x.id)
	key := req.Header.Get(wire.HeaderIdempotencyKey)
	if len(key) > maxKey {
		return nil, badRequest("key_too_long", wire.HeaderIdempotencyKey, "an Idempotency-Key has at most 255 bytes")
	}
	x.key = key
	body, err := p.readBody(c)
	switch {
	case errors.Is(err, errTooLong):
		f := badRequest("body_too_long", "", "the body is longer than this system takes")
		f.Status = http.StatusRequestEntityTooLarge
		return nil, f
	case err != nil:
		f := badRequest("body_unreadable", "", "the body did not arrive whole in time")
		f.Status = http.StatusRequestTimeout
		return nil, f
	}
	x.body = body
	return x, nil
}

// errTooLong says that a request's body is longer than the limit.
var errTooLong = errors.New("entry: body too long")

// readBody reads the body within its limits of length and time.
func (p *proxy) readBody(c echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	if err := rc.SetReadDeadline(clock.SystemDeadline(p.limits.BodyTime.Std())); err != nil {
		return nil, eris.Wrap(err, "entry: set deadline")
	}
	limit := p.limits.BodyBytes
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "entry: read body")
	}
	if int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, eris.Wrap(rc.SetReadDeadline(time.Time{}), "entry: clear deadline")
}

// badRequest returns a refusal of a request that is wrong.
func badRequest(code, param, message string) *wire.Failure {
	return &wire.Failure{
		Status: http.StatusBadRequest, Outcome: wire.OutcomeNotRun, Type: wire.TypeInvalidRequest,
		Code: code, Param: param, Message: message,
	}
}
