package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"rockcleat/dispatch"
	"rockcleat/internal/telemetry"
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

// Rates of lines on answered requests, per second and together.
const (
	answeredRate  = 20
	answeredBurst = 40
)

// Metrics counts what becomes of requests.
type Metrics interface {
	// Handler shows the figures as text.
	Handler() http.Handler
	// Ended counts a request of a route by its outcome, with the times to its
	// first byte and its end in seconds; first is 0 if there was no byte.
	Ended(route, outcome string, first, total float64)
	// Sent counts a send to a backend server; repeat tells that it was not the first.
	Sent(service string, repeat bool)
	// Places counts places asked of other gateways: granted, not granted and without an
	// answer.
	Places(granted, denied, silent int)
}

type noMetrics struct{}

func (noMetrics) Handler() http.Handler                  { return http.NotFoundHandler() }
func (noMetrics) Ended(string, string, float64, float64) {}
func (noMetrics) Sent(string, bool)                      {}
func (noMetrics) Places(int, int, int)                   {}

// ended records what became of a request. Answered ones are logged up to a rate;
// those left out are counted in the next line.
func (g *Gateway) ended(x *exchange) {
	now := g.clock.Now()
	first := 0.0
	if !x.firstByte.IsZero() {
		first = x.firstByte.Sub(x.arrived).Seconds()
	}
	g.metrics.Ended(x.route.Name, x.outcome, first, now.Sub(x.arrived).Seconds())
	if earned, ok := x.earned(); ok {
		g.dispatcher.RecordResult(&x.req, earned)
	}
	if x.req.GrantsAsked > 0 {
		g.metrics.Places(x.req.GrantsGiven, x.req.GrantsDenied, x.req.GrantsAsked-x.req.GrantsGiven-x.req.GrantsDenied)
	}
	if x.outcome == outcomeAnswered && !g.answeredLines.Allow() {
		g.leftOut.Add(1)
		return
	}
	fields := append(x.fields(now, first), x.choiceFields()...)
	if x.outcome == outcomeRefused {
		fields = append(fields, zap.Int(fieldHolders, g.dispatcher.HolderCount(&x.req)))
	}
	if n := g.leftOut.Swap(0); n > 0 {
		fields = append(fields, zap.Uint64(fieldLeftOut, n))
	}
	g.log.Info(msgEnded, fields...)
}

// lateCredit is the part of its credit that a late answer earns, about.
const lateCredit = 0.3

// earned returns the part of its credit that the request has earned, and whether that was
// a matter of load: a server that was lost, or a model that no server holds, says nothing
// about it.
func (x *exchange) earned() (part float64, ok bool) {
	switch x.outcome {
	case outcomeRefused:
		return 0, x.g.dispatcher.HolderCount(&x.req) > 0
	case outcomeTimeout:
		return 0, true
	case outcomeAnswered:
		if x.inTime() {
			return 1, true
		}
		return lateCredit, true
	}
	return 0, false
}

// inTime reports whether the answer began and went on within the route's objectives.
func (x *exchange) inTime() bool {
	pause := x.route.EventGapObjective
	return x.firstByte.Sub(x.arrived) <= x.route.FirstByteObjective && (pause == 0 || x.longestPause <= pause)
}

// fields are what the line on a request's end tells of the request.
func (x *exchange) fields(now time.Time, first float64) []zap.Field {
	return []zap.Field{
		zap.String(fieldRequest, x.id), zap.String(fieldRoute, x.route.Name), zap.String(fieldService, x.service.Name),
		zap.String(fieldModel, x.r.Header.Get(x.g.names.Model)), zap.String(fieldOutcome, x.outcome),
		zap.Int(fieldStatus, x.status), zap.Uint64(fieldConfig, x.version),
		zap.Int(fieldSends, x.sends), zap.Int(fieldUnsent, x.unsent),
		zap.Float64(fieldWaited, x.waited.Seconds()), zap.Float64(fieldFirst, first),
		zap.Float64(fieldPause, x.longestPause.Seconds()), zap.Int(fieldEvents, x.events),
		zap.Int(fieldAsked, x.req.GrantsAsked), zap.Int(fieldDenied, x.req.GrantsDenied),
		zap.Float64(fieldTotal, now.Sub(x.arrived).Seconds()),
		zap.Float64(fieldLimit, x.end.Sub(x.arrived).Seconds()),
	}
}

// choiceFields tell the last choice of a server and what it was made from.
func (x *exchange) choiceFields() []zap.Field {
	if x.ticket == nil {
		return nil
	}
	c, among := x.ticket.Choice()
	return []zap.Field{
		zap.String(fieldServer, x.ticket.Server().ID), zap.Int(fieldAmong, among), zap.Int(fieldRunning, c.Running),
		zap.Float64(fieldReading, float64(c.PrefillAhead)), zap.Float64(fieldRead, float64(c.Prefill)), zap.Bool(fieldOwn, c.Owned),
		zap.Bool(fieldNear, c.SameHall),
	}
}

func (g *Gateway) logSend(x *exchange, t *dispatch.Reservation) {
	repeat := x.sends > 0
	g.metrics.Sent(x.service.Name, repeat)
	if !repeat {
		x.waited = g.clock.Now().Sub(x.arrived)
	}
	if repeat {
		g.log.Info(msgSentAgain, zap.String(fieldRequest, x.id), zap.String(fieldServer, t.Server().ID),
			zap.String(fieldLastEvent, x.lastEvent))
	}
}

func (g *Gateway) logFailed(x *exchange, t *dispatch.Reservation, what string, err error) {
	g.log.Info(msgSendFailed, zap.String(fieldRequest, x.id), zap.String(fieldServer, t.Server().ID),
		zap.String(fieldAddr, t.Server().Addr), zap.String(fieldReason, what), zap.Int(fieldRuns, x.runs),
		zap.Float64(fieldAge, g.clock.Now().Sub(x.arrived).Seconds()), telemetry.Error(err))
}

func (g *Gateway) logCut(x *exchange, err error) {
	g.log.Info(msgCut, zap.String(fieldRequest, x.id), zap.String(fieldLastEvent, x.lastEvent), telemetry.Error(err))
}

// logSilent tells of a gateway that did not answer when it was asked for a place.
func (g *Gateway) logSilent(owner string, err error) {
	g.log.Warn(msgSilent, zap.String("owner", owner), telemetry.Error(err))
}

// logSilentServer tells that a request stays with a server that says nothing, since no
// other can take it or the budget of repeats is spent.
func (g *Gateway) logSilentServer(x *exchange, t *dispatch.Reservation) {
	g.log.Info(msgMute, zap.String(fieldRequest, x.id), zap.String(fieldServer, t.Server().ID),
		zap.Float64(fieldAge, g.clock.Now().Sub(x.arrived).Seconds()))
}

// logWatch tells whether changes under a prefix are read from the store or handed
// on by the holder of orders.
func (g *Gateway) logWatch(prefix string, direct bool) {
	msg := msgHandedOn
	if direct {
		msg = msgAlone
	}
	g.log.Info(msg, zap.String("prefix", prefix))
}

func (g *Gateway) logRefusedEarly(r *http.Request, f *refusal) {
	g.log.Info(msgRefused, zap.String(fieldRequest, r.Header.Get(g.names.RequestID)), zap.String(fieldHost, r.Host),
		zap.String(fieldTarget, r.RequestURI), zap.Int(fieldStatus, f.status), zap.String(fieldReason, f.reason))
}
