package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/serverlimit"
)

// Messages of the lines that touch a request; docs/OPERATIONS-GATEWAY.md explains them.
const (
	msgEnded       = "request ended"
	msgRefused     = "request refused"
	msgSendFailed  = "send failed"
	msgSentAgain   = "sent again"
	msgCut         = "answer cut"
	msgOwner       = "owner did not answer"
	msgLimitOwner  = "limit not granted by its owner"
	msgPermitOwner = "permit not granted by its owner"
	msgStalled     = "server stalled, request stays"
	msgDirect      = "watching the store directly"
	msgReceiving   = "watching the store through the leader"
	msgMalformed   = "header malformed, ignored"
	msgServerEnded = "server ended"
	msgServerLimit = "server limit"
)

// Names of the fields of these lines; docs/OPERATIONS-GATEWAY.md lists them with units.
const (
	fieldRequest   = "request"
	fieldDigest    = "digest"
	fieldRoute     = "route"
	fieldService   = "service"
	fieldModel     = "model"
	fieldOutcome   = "outcome"
	fieldStatus    = "status"
	fieldConfig    = "config"
	fieldSends     = "sends"
	fieldUnsent    = "unsent"
	fieldRuns      = "runs"
	fieldWaited    = "waited_s"
	fieldFirst     = "first_s"
	fieldGap       = "pause_s"
	fieldEvents    = "events"
	fieldAsked     = "asked"
	fieldDenied    = "denied"
	fieldHeldBack  = "held_back"
	fieldTotal     = "total_s"
	fieldLimit     = "limit_s"
	fieldAge       = "age_s"
	fieldServer    = "server"
	fieldAddr      = "addr"
	fieldReason    = "reason"
	fieldHost      = "host"
	fieldTarget    = "target"
	fieldAmong     = "among"
	fieldHolders   = "holders"
	fieldRunning   = "running"
	fieldAhead     = "reading_ms"
	fieldPrefill   = "read_ms"
	fieldOwned     = "own"
	fieldSameHall  = "near"
	fieldLastEvent = "last_event"
	fieldLeftOut   = "left_out"
	fieldDigests   = "digests"
	fieldRequests  = "requests"
	fieldCustomer  = "customer"
	fieldState     = "state"
	fieldOrigin    = "origin"
	fieldPerSecond = "per_second"
)

// Rates of lines, in lines per second and lines together.
const (
	// answeredRate and answeredBurst bound the lines on answered requests.
	answeredRate  = 20
	answeredBurst = 40 // two seconds of them
	// quarantinedRate and quarantinedBurst bound those on requests in quarantine, whose callers may send
	// them without end.
	quarantinedRate  = 5
	quarantinedBurst = 10 // two seconds of them
	// overLimitRate and overLimitBurst bound those on requests over their organisation's limit, likewise.
	overLimitRate  = 5
	overLimitBurst = 10 // two seconds of them
	// malformedRate and malformedBurst bound the lines on malformed headers.
	malformedRate  = 1
	malformedBurst = 5 // a series of one caller
	// serverLimitRate and serverLimitBurst bound those on servers' limits, which a server may name and end as
	// often as it answers.
	serverLimitRate  = 5
	serverLimitBurst = 60 // all servers of a data hall at once
)

// Metrics counts what becomes of requests.
type Metrics interface {
	// Handler shows the figures as text.
	Handler() http.Handler
	// Ended counts a request of a route by its outcome, with the times to its first byte
	// and its end in seconds; first is 0 if there was no byte.
	Ended(route, outcome string, first, total float64)
	// Sent counts a send to a backend server; retry says that it was not the first.
	Sent(service string, retry bool)
	// Admissions counts what other gateways answered when they were asked for admission.
	Admissions(granted, denied, silent int)
	// Charged counts a request that was charged to an organisation's limit, by what that said ("inside", "over",
	// "unknown"), with its cost in the limit's unit.
	Charged(organisation, outcome string, cost float64)
	// ServerLimit counts limits that servers have named, changed and ended, by state.
	ServerLimit(state string)
	// Permit counts a request for a permit at a server with a limit, by what it brought ("inside", "over", "unknown").
	Permit(outcome string)
	// ServerEnded counts the end of a server of a service under requests.
	ServerEnded(service string)
	// ConfigTransfer counts a transfer of the configuration, with its bytes as they were sent;
	// err says that it failed.
	ConfigTransfer(from string, bytes int, err error)
}

type noMetrics struct{}

func (noMetrics) Handler() http.Handler                  { return http.NotFoundHandler() }
func (noMetrics) Ended(string, string, float64, float64) {}
func (noMetrics) Sent(string, bool)                      {}
func (noMetrics) ServerLimit(string)                     {}
func (noMetrics) Permit(string)                          {}
func (noMetrics) ServerEnded(string)                     {}
func (noMetrics) Charged(string, string, float64)        {}
func (noMetrics) Admissions(int, int, int)               {}
func (noMetrics) ConfigTransfer(string, int, error)      {}

// A requestLog writes the lines that touch requests, and counts them in metrics. It is safe
// for concurrent use.
type requestLog struct {
	log     *zap.Logger
	metrics Metrics
	clock   clock.Service
	names   wire.Names
	// answered and quarantined bound the lines on such requests, leftOut counts the others.
	answered    *rate.Limiter
	quarantined *rate.Limiter
	leftOut     atomic.Uint64
	malformed   *rate.Limiter
	// overLimit bounds the lines on requests over their organisation's limit, serverLimit those on servers' limits.
	overLimit, serverLimit *boundedLines
}

func newRequestLog(log *zap.Logger, m Metrics, c clock.Service, names wire.Names) *requestLog {
	return &requestLog{
		log: log, metrics: m, clock: c, names: names,
		answered:    rate.NewLimiter(answeredRate, answeredBurst),
		quarantined: rate.NewLimiter(quarantinedRate, quarantinedBurst),
		overLimit:   newBoundedLines(overLimitRate, overLimitBurst),
		malformed:   rate.NewLimiter(malformedRate, malformedBurst),
		serverLimit: newBoundedLines(serverLimitRate, serverLimitBurst),
	}
}

// ended counts and logs what became of a request. Answered ones, and those in quarantine, are logged up to a rate;
// those left out are counted in the next line.
func (l *requestLog) ended(in *inbound, req *dispatch.Request, r *record) {
	now := l.clock.Now()
	first := r.untilFirstByte(in)
	l.metrics.Ended(in.route.Name, r.outcome, first.Seconds(), now.Sub(in.arrived).Seconds())
	if asked := req.GrantsAsked; asked > 0 {
		l.metrics.Admissions(req.GrantsGiven, req.GrantsDenied, asked-req.GrantsGiven-req.GrantsDenied)
	}
	if !l.isLogged(r.outcome, now) {
		l.leftOut.Add(1)
		return
	}
	fields := append(l.endFields(in, req, r, now), choiceFields(r.reservation)...)
	if r.outcome == outcomeRefused {
		fields = append(fields, zap.Int(fieldHolders, r.holders))
	}
	if n := l.leftOut.Swap(0); n > 0 {
		fields = append(fields, zap.Uint64(fieldLeftOut, n))
	}
	l.log.Info(msgEnded, fields...)
}

// isLogged reports whether the rates of lines have room for one on a request with an outcome.
func (l *requestLog) isLogged(outcome string, now time.Time) bool {
	switch outcome {
	case outcomeAnswered:
		return l.answered.AllowN(now, 1)
	case outcomeQuarantined:
		return l.quarantined.AllowN(now, 1)
	}
	return true
}

// endFields describe a request that has ended.
func (l *requestLog) endFields(in *inbound, req *dispatch.Request, r *record, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String(fieldRequest, in.id), zap.Stringer(fieldDigest, in.key),
		zap.String(fieldRoute, in.route.Name), zap.String(fieldService, in.service.Name),
		zap.String(fieldModel, in.Header.Get(l.names.Model)), zap.String(fieldOutcome, r.outcome),
		zap.Int(fieldStatus, r.status), zap.Uint64(fieldConfig, in.configVersion),
		zap.Int(fieldSends, r.sends), zap.Int(fieldUnsent, r.unsent),
		zap.Float64(fieldWaited, r.waited.Seconds()), zap.Float64(fieldFirst, r.untilFirstByte(in).Seconds()),
		zap.Float64(fieldGap, r.longestGap.Seconds()), zap.Int(fieldEvents, r.events),
		zap.Int(fieldAsked, req.GrantsAsked), zap.Int(fieldDenied, req.GrantsDenied),
		zap.Float64(fieldTotal, now.Sub(in.arrived).Seconds()),
		zap.Float64(fieldLimit, in.deadline.Sub(in.arrived).Seconds()), customerField(in.organisation.Name), heldBackField(req),
	}
}

// heldBackField tells how often a request was held back for servers' limits, if it was.
func heldBackField(req *dispatch.Request) zap.Field {
	if req.PermitsDenied == 0 {
		return zap.Skip()
	}
	return zap.Int(fieldHeldBack, req.PermitsDenied)
}

// choiceFields describe the last choice of a server and what it was made from.
func choiceFields(res *dispatch.Reservation) []zap.Field {
	if res == nil {
		return nil
	}
	c, among := res.Choice()
	return []zap.Field{
		zap.String(fieldServer, res.Server().ID), zap.Int(fieldAmong, among), zap.Int(fieldRunning, c.Running),
		zap.Float64(fieldAhead, float64(c.PrefillAhead)), zap.Float64(fieldPrefill, float64(c.Prefill)),
		zap.Bool(fieldOwned, c.Owned), zap.Bool(fieldSameHall, c.SameHall),
	}
}

// refusedEarly logs a request that was refused before it could wait for a server; those over a limit up to a
// rate.
func (l *requestLog) refusedEarly(r *http.Request, f *refusal) {
	leftOut := zap.Skip()
	if f.status == http.StatusTooManyRequests {
		var ok bool
		if leftOut, ok = l.overLimit.next(l.clock.Now()); !ok {
			return
		}
	}
	l.log.Info(msgRefused, zap.String(fieldRequest, r.Header.Get(l.names.RequestID)), zap.String(fieldHost, r.Host),
		zap.String(fieldTarget, r.RequestURI), zap.Int(fieldStatus, f.status), zap.String(fieldReason, f.reason),
		customerField(f.organisation), leftOut)
}

// customerField names the organisation of a request, if it is known.
func customerField(organisation string) zap.Field {
	if organisation == "" {
		return zap.Skip()
	}
	return zap.String(fieldCustomer, organisation)
}

// malformedHeader logs, up to a rate, a header that cannot be decoded and is ignored.
func (l *requestLog) malformedHeader(in *inbound, header, value string) {
	if l.malformed.AllowN(l.clock.Now(), 1) {
		l.log.Info(msgMalformed, zap.String(fieldRequest, in.id), zap.String("header", header), zap.String("value", value))
	}
}

// malformedLimit logs, up to a rate, an answer whose server names a limit that is no rate.
func (l *requestLog) malformedLimit(server, header string, values []string) {
	if l.malformed.AllowN(l.clock.Now(), 1) {
		l.log.Info(msgMalformed, zap.String(fieldServer, server), zap.String("header", header), zap.Strings("value", values))
	}
}

// serverLimitChanged counts a limit that a server has named, changed or ended, and logs it up to a rate.
func (l *requestLog) serverLimitChanged(c serverlimit.Change) {
	l.metrics.ServerLimit(string(c.State))
	leftOut, ok := l.serverLimit.next(l.clock.Now())
	if !ok {
		return
	}
	l.log.Info(msgServerLimit, zap.String(fieldServer, c.Server), zap.String(fieldState, string(c.State)),
		zap.Float64(fieldPerSecond, c.PerSecond), zap.String(fieldOrigin, string(c.Origin)), zap.Float64(fieldAge, c.Age.Seconds()), leftOut)
}

// sending counts a send, and logs it if it is a retry.
func (l *requestLog) sending(f *forwarder, res *dispatch.Reservation) {
	retry := f.record.sends > 0
	l.metrics.Sent(f.in.service.Name, retry)
	if !retry {
		return
	}
	l.log.Info(msgSentAgain, zap.String(fieldRequest, f.in.id), zap.String(fieldServer, res.Server().ID),
		zap.String(fieldLastEvent, f.lastEvent))
}

// sendFailed logs a send that brought no usable answer.
func (l *requestLog) sendFailed(f *forwarder, res *dispatch.Reservation, reason string, err error) {
	l.log.Info(msgSendFailed, zap.String(fieldRequest, f.in.id), zap.Stringer(fieldDigest, f.in.key),
		zap.String(fieldServer, res.Server().ID), zap.String(fieldAddr, res.Server().Addr), zap.String(fieldReason, reason), zap.Int(fieldRuns, f.record.runs),
		l.age(f.in), telemetry.Error(err))
}

// age is the time since a request's arrival.
func (l *requestLog) age(in *inbound) zap.Field {
	return zap.Float64(fieldAge, l.clock.Now().Sub(in.arrived).Seconds())
}

// cut logs an answer that had begun and could not be completed.
func (l *requestLog) cut(f *forwarder, err error) {
	l.log.Info(msgCut, zap.String(fieldRequest, f.in.id), zap.Stringer(fieldDigest, f.in.key), f.server(),
		zap.String(fieldLastEvent, f.lastEvent), telemetry.Error(err))
}

// stalled logs that a request stays with a stalled server, since no other can take it or
// the retry budget is spent.
func (l *requestLog) stalled(in *inbound, res *dispatch.Reservation) {
	l.log.Info(msgStalled, zap.String(fieldRequest, in.id), zap.String(fieldServer, res.Server().ID), l.age(in))
}

// ownerSilent logs a gateway that did not answer when it was asked for admission.
func (l *requestLog) ownerSilent(owner string, err error) {
	l.log.Warn(msgOwner, zap.String("owner", owner), telemetry.Error(err))
}

// limitOwnerSilent logs a gateway that did not grant when it was asked as the owner of an organisation's limit.
func (l *requestLog) limitOwnerSilent(organisation, gateway string, err error) {
	l.log.Warn(msgLimitOwner, customerField(organisation), zap.String("owner", gateway), telemetry.Error(err))
}

// permitOwnerSilent logs a gateway that did not grant when it was asked as the owner of a backend server's limit.
func (l *requestLog) permitOwnerSilent(server, gateway string, err error) {
	l.log.Warn(msgPermitOwner, zap.String(fieldServer, server), zap.String("owner", gateway), telemetry.Error(err))
}

// watchSwitched logs whether a prefix is watched at the store or through the leader.
func (l *requestLog) watchSwitched(prefix string, direct bool) {
	msg := msgReceiving
	if direct {
		msg = msgDirect
	}
	l.log.Info(msg, zap.String("prefix", prefix))
}
