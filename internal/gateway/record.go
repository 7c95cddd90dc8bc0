package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"rockcleat/dispatch"
)

// Outcomes of requests, as logs and metrics name them.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"
	outcomeRefused  = "refused"
	outcomeUnknown  = "unknown"
	outcomeTimeout  = "timeout"
	outcomeCut      = "cut"
	outcomeGone     = "caller_gone"
)

// sampleAnswered is how many answered requests one line stands for.
const sampleAnswered = 1

// Metrics counts what becomes of requests.
type Metrics interface {
	// Handler shows the figures as text.
	Handler() http.Handler
	// Ended counts a request of a route by its outcome, with the times to its
	// first byte and its end in seconds; first is 0 if there was no byte.
	Ended(route, outcome string, first, total float64)
	// Sent counts a send to a backend server; repeat tells that it was not the first.
	Sent(service string, repeat bool)
}

type noMetrics struct{}

func (noMetrics) Handler() http.Handler                  { return http.NotFoundHandler() }
func (noMetrics) Ended(string, string, float64, float64) {}
func (noMetrics) Sent(string, bool)                      {}

// ended records what became of a request.
func (g *Gateway) ended(x *exchange) {
	now := g.clock.Now()
	first := 0.0
	if !x.firstByte.IsZero() {
		first = x.firstByte.Sub(x.arrived).Seconds()
	}
	g.metrics.Ended(x.route.Name, x.outcome, first, now.Sub(x.arrived).Seconds())
	if x.outcome == outcomeAnswered && g.done.Add(1)%sampleAnswered != 0 {
		return
	}
	g.log.Info("request ended", zap.String("request", x.id), zap.String("route", x.route.Name),
		zap.String("service", x.service.Name), zap.String("model", x.r.Header.Get(g.names.Model)),
		zap.String("outcome", x.outcome), zap.Int("sends", x.sends), zap.Int("unsent", x.unsent),
		zap.Float64("first_s", first), zap.Float64("waited_s", x.waited.Seconds()),
		zap.Float64("pause_s", x.longestPause.Seconds()), zap.Float64("total_s", now.Sub(x.arrived).Seconds()),
		zap.Float64("limit_s", x.end.Sub(x.arrived).Seconds()))
}

func (g *Gateway) logSend(x *exchange, t *dispatch.Ticket) {
	repeat := x.sends > 0
	g.metrics.Sent(x.service.Name, repeat)
	if !repeat {
		x.waited = g.clock.Now().Sub(x.arrived)
	}
	if repeat {
		g.log.Info("sent again", zap.String("request", x.id), zap.String("server", t.Server().ID),
			zap.String("last_event", x.lastEvent))
	}
}

func (g *Gateway) logFailed(x *exchange, t *dispatch.Ticket, what string, err error) {
	g.log.Info("send failed", zap.String("request", x.id), zap.String("server", t.Server().ID),
		zap.String("addr", t.Server().Addr), zap.String("what", what), zap.Int("runs", x.runs), zap.Error(err),
		zap.Duration("age", g.clock.Now().Sub(x.arrived).Round(time.Millisecond)))
}

func (g *Gateway) logCut(x *exchange, err error) {
	g.log.Info("answer cut", zap.String("request", x.id), zap.String("last_event", x.lastEvent), zap.Error(err))
}

func (g *Gateway) logRefusedEarly(r *http.Request, f *refusal) {
	g.log.Info("request refused", zap.String("request", r.Header.Get(g.names.RequestID)),
		zap.String("host", r.Host), zap.String("target", r.RequestURI), zap.Int("status", f.status), zap.String("reason", f.reason))
}
