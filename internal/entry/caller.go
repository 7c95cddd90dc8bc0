package entry

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"rockcleat/internal/openai"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/rendezvous"
	"rockcleat/table"
)

// maxKey is the longest Idempotency-Key, in bytes.
const maxKey = 255

// prefixBytes is how much of a prompt decides which servers share its cache.
const prefixBytes = 512

// retrySoon is when to come back after a refusal that gives no time of its own.
const retrySoon = time.Second

// A call is one caller's request on its way.
type call struct {
	id      string
	row     table.Row
	body    []byte
	tokens  int
	prefix  uint64
	stream  bool
	arrived time.Time
	// repeatable tells that the request may be sent again although it may have run.
	repeatable bool
	// key is the scoped Idempotency-Key, empty if there is none.
	key string
	// answer collects the answer for the record of a request with a key.
	answer *answerRecord
}

func (c *call) class() telemetry.Class {
	return telemetry.Class{Tier: string(c.row.Tier), Organisation: c.row.Organisation}
}

func (e *Entry) requestRouter() http.Handler {
	r := server.NewRouter()
	r.GET(wire.PathReady, server.Readiness(e.ready).Answer)
	r.GET("/v1/models", e.listModels)
	r.POST("/v1/chat/completions", e.limited(e.serveModel))
	r.POST("/v1/completions", e.limited(e.serveModel))
	r.Any("/*", e.limited(e.serveService))
	return r
}

// limited bounds the requests in progress.
func (e *Entry) limited(f echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		n := e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if e.leaving.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		if n > int64(e.settings.Limits.InFlight) {
			return wire.Failure{
				Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
				Code: "entry_full", Message: "this entry holds as many requests as it may", RetryAfter: retrySoon,
			}.Write(c)
		}
		return f(c)
	}
}

func (e *Entry) listModels(c echo.Context) error {
	l := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, r := range e.replica.Current().Rows() {
		if r.Kind == table.KindService {
			continue
		}
		l.Data = append(l.Data, openai.Model{ID: r.Name, Object: "model", OwnedBy: r.Organisation, Parent: r.Base})
	}
	c.Response().Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	return c.JSON(http.StatusOK, l)
}

// serveModel answers a completion request.
func (e *Entry) serveModel(c echo.Context) error {
	x, f := e.newCall(c)
	if f != nil {
		return f.Write(c)
	}
	req, err := openai.ParseRequest(x.body)
	if err != nil {
		return badRequest("invalid_body", "", err.Error()).Write(c)
	}
	row, ok := e.replica.Current().Row(req.Model)
	if !ok || row.Kind == table.KindService {
		f := badRequest("model_not_found", "model", "the model "+req.Model+" does not exist")
		f.Status = http.StatusNotFound
		return f.Write(c)
	}
	x.row, x.stream, x.tokens = row, req.Stream, req.Cost()
	prompt := req.Prompt()
	x.prefix = rendezvous.Key(row.Name + "\x00" + prompt[:min(len(prompt), prefixBytes)])
	x.repeatable = true
	return e.run(c, x)
}

// serveService answers a call to a plain service.
func (e *Entry) serveService(c echo.Context) error {
	row, ok := serviceFor(e.replica.Current(), c.Request().URL.Path)
	if !ok {
		f := badRequest("not_found", "", "no service answers this path")
		f.Status = http.StatusNotFound
		return f.Write(c)
	}
	x, f := e.newCall(c)
	if f != nil {
		return f.Write(c)
	}
	x.row, x.tokens = row, 1
	method := c.Request().Method
	x.repeatable = method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return e.run(c, x)
}

// serviceFor returns the service row with the longest path that the call's path is under.
func serviceFor(t *table.Table, path string) (table.Row, bool) {
	var best table.Row
	for _, r := range t.Rows() {
		under := path == r.Path || strings.HasPrefix(path, r.Path+"/")
		if r.Kind == table.KindService && under && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best.Path != ""
}

func badRequest(code, param, message string) *wire.Failure {
	return &wire.Failure{
		Status: http.StatusBadRequest, Outcome: wire.OutcomeNotRun, Type: wire.TypeInvalidRequest,
		Code: code, Param: param, Message: message,
	}
}

// newCall reads the request's body and names it.
func (e *Entry) newCall(c echo.Context) (*call, *wire.Failure) {
	req := c.Request()
	x := &call{id: req.Header.Get(wire.HeaderRequestID), arrived: e.clock.Now()}
	if x.id == "" {
		x.id = uuid.NewString()
	}
	c.Response().Header().Set(wire.HeaderRequestID, x.id)
	key := req.Header.Get(wire.HeaderIdempotencyKey)
	if len(key) > maxKey {
		return nil, badRequest("key_too_long", wire.HeaderIdempotencyKey, "an Idempotency-Key has at most 255 bytes")
	}
	x.key = key
	body, err := e.readBody(c)
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

var errTooLong = errors.New("entry: body too long")

// readBody reads the body within its limits of length and time.
func (e *Entry) readBody(c echo.Context) ([]byte, error) {
	rc := http.NewResponseController(c.Response().Writer)
	if err := rc.SetReadDeadline(time.Now().Add(e.settings.Limits.BodyTime.Std())); err != nil {
		return nil, eris.Wrap(err, "entry: set deadline")
	}
	limit := e.settings.Limits.BodyBytes
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "entry: read body")
	}
	if int64(len(body)) > limit {
		return nil, errTooLong
	}
	return body, eris.Wrap(rc.SetReadDeadline(time.Time{}), "entry: clear deadline")
}

// run answers a call, through its claim if it has a key.
func (e *Entry) run(c echo.Context, x *call) error {
	if x.key != "" {
		x.key = x.row.Name + "\x00" + x.key
		x.repeatable = false
		return e.runClaimed(c, x)
	}
	e.forward(c, x)
	return nil
}
