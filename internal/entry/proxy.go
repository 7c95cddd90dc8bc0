package entry

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/fleet"
	"rockcleat/internal/bodybuffer"
	"rockcleat/internal/config"
	"rockcleat/internal/openai"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/rendezvous"
	"rockcleat/retry"
	"rockcleat/route"
	"rockcleat/table"
)

// A proxy serves clients' requests. It reads each request completely, forwards it to the agent of a
// backend server, retries on another server where that is safe, and returns the response.
type proxy struct {
	limits config.Limits
	secret string
	// controlAddr returns the address of this entry's control listener, which agents connect to.
	controlAddr func() string
	// ready reports whether the load balancer should send requests to this entry. leaving reports
	// whether the entry is stopping.
	ready     server.Readiness
	leaving   func() bool
	replica   *table.Replica
	view      *fleet.View
	members   *members
	claims    *claims
	decisions *decisions
	agents    *http.Client
	// quarantine is checked before each attempt.
	quarantine *quarantine.Table
	clock      clock.Service
	log        *zap.Logger
	metrics    *telemetry.Metrics
	// loadTable holds the load of each server, retryBudget the retry budget of this entry.
	loadTable   route.LoadTable
	retryBudget retry.Budget
	// inFlight is the number of client requests in progress.
	inFlight atomic.Int64
	// buffers is the memory for the bodies of requests.
	buffers *bodybuffer.Memory
}

// router returns the handler of clients' requests.
func (p *proxy) router() http.Handler {
	r := server.NewRouter()
	r.GET(wire.PathReady, p.ready.Handle)
	r.GET("/v1/models", p.listModels)
	r.POST("/v1/chat/completions", p.limitInFlight(p.serveModel))
	r.POST("/v1/completions", p.limitInFlight(p.serveModel))
	r.Any("/*", p.limitInFlight(p.serveService))
	return r
}

// limitInFlight rejects requests above the limit of requests in progress.
func (p *proxy) limitInFlight(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		n := p.inFlight.Add(1)
		defer p.inFlight.Add(-1)
		if p.leaving() {
			c.Response().Header().Set("Connection", "close")
		}
		if n > int64(p.limits.InFlight) {
			return wire.ErrorResponse{
				Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
				Code: "entry_full", Message: "this entry holds as many requests as it may", RetryAfter: defaultRetryAfter,
			}.Write(c)
		}
		return next(c)
	}
}

// listModels responds with the models and adapters of the table.
func (p *proxy) listModels(c echo.Context) error {
	l := openai.ModelList{Object: "list", Data: []openai.Model{}}
	for _, r := range p.replica.Current().Rows() {
		if r.Kind == table.KindService {
			continue
		}
		l.Data = append(l.Data, openai.Model{ID: r.Name, Object: "model", OwnedBy: r.Organisation, Parent: r.Base})
	}
	c.Response().Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	return c.JSON(http.StatusOK, l)
}

// serveModel handles a completion request.
func (p *proxy) serveModel(c echo.Context) error {
	x, errResp := p.newCall(c)
	if errResp != nil {
		return errResp.Write(c)
	}
	defer x.release()
	req, err := openai.ParseRequest(x.body)
	if err != nil {
		return badRequest("invalid_body", "", err.Error()).Write(c)
	}
	row, ok := p.replica.Current().Row(req.Model)
	if !ok || row.Kind == table.KindService {
		errResp := badRequest("model_not_found", "model", "the model "+req.Model+" does not exist")
		errResp.Status = http.StatusNotFound
		return errResp.Write(c)
	}
	x.row, x.stream, x.tokens = row, req.Stream, req.EstimateTokens()
	prompt := req.Prompt()
	x.prefix = rendezvous.Key(row.Name + "\x00" + prompt[:min(len(prompt), routingPrefixLength)])
	x.repeatable = true
	return p.serveCall(c, x)
}

// serveService handles a request to a plain service.
func (p *proxy) serveService(c echo.Context) error {
	row, ok := serviceFor(p.replica.Current(), c.Request().URL.Path)
	if !ok {
		errResp := badRequest("not_found", "", "no service answers this path")
		errResp.Status = http.StatusNotFound
		return errResp.Write(c)
	}
	x, errResp := p.newCall(c)
	if errResp != nil {
		return errResp.Write(c)
	}
	defer x.release()
	x.row, x.tokens = row, 1
	method := c.Request().Method
	x.repeatable = method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
	return p.serveCall(c, x)
}

// serviceFor returns the service row with the longest path that is a prefix of the request's path,
// in whole segments.
func serviceFor(t *table.Table, path string) (table.Row, bool) {
	var best table.Row
	for _, r := range t.Rows() {
		matches := path == r.Path || strings.HasPrefix(path, r.Path+"/")
		if r.Kind == table.KindService && matches && len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best, best.Path != ""
}

// serveCall serves a call, with a claim if it has an Idempotency-Key.
func (p *proxy) serveCall(c echo.Context, x *call) error {
	if x.key != "" {
		x.key = x.row.Name + "\x00" + x.key
		x.repeatable = false
		return p.runClaimed(c, x)
	}
	p.forward(c, x)
	return nil
}
