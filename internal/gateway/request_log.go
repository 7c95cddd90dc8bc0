package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
)

// Rate limits of log lines, in lines per second, and their bursts, in lines.
const (
	// answeredRate and answeredBurst limit lines about answered requests.
	answeredRate  = 20
	answeredBurst = 40
	// quarantinedRate and quarantinedBurst limit lines about requests in quarantine, which callers may repeat at any
	// rate.
	quarantinedRate  = 5
	quarantinedBurst = 10
	// overLimitRate and overLimitBurst limit lines about requests over a rate limit, likewise.
	overLimitRate  = 5
	overLimitBurst = 10
	// malformedRate and malformedBurst limit lines about malformed headers.
	malformedRate  = 1
	malformedBurst = 5
	// serverLimitRate and serverLimitBurst limit lines about servers' rate limits, which can change with each
	// response.
	serverLimitRate  = 5
	serverLimitBurst = 60
	// serverLeaveRate and serverLeaveBurst limit lines about leaving servers, of which many may leave together.
	serverLeaveRate  = 5
	serverLeaveBurst = 60
	// serverPauseRate and serverPauseBurst limit lines about pauses of servers, which can change with each response.
	serverPauseRate  = 5
	serverPauseBurst = 60
	// serverSpeedRate and serverSpeedBurst limit lines about speeds of servers, of which many may be found after a start.
	serverSpeedRate  = 5
	serverSpeedBurst = 60
	// resumedRate and resumedBurst limit lines about streams that callers resume, which are many when a gateway is lost.
	resumedRate  = 20
	resumedBurst = 200
	// notSentRate and notSentBurst limit lines about gateways to which records of streams could not be sent.
	notSentRate  = 1
	notSentBurst = 5
	// foreignRate and foreignBurst limit lines about responses to other requests, which a faulty server may send all the time.
	foreignRate  = 5
	foreignBurst = 60
	// processorRate and processorBurst limit lines about a shortage of processor time, which may begin and end often.
	processorRate  = 1
	processorBurst = 10
	// processorRefusalRate and processorRefusalBurst limit lines about requests refused because processor time is short, since
	// the lines take processor time too.
	processorRefusalRate  = 5
	processorRefusalBurst = 10
)

// A requestLog writes the log lines about requests and updates the metrics. It is safe for concurrent use.
type requestLog struct {
	log     *zap.Logger
	metrics Metrics
	clock   clock.Service
	names   wire.HeaderNames
	// answered and quarantined limit the lines about such requests; suppressed counts the suppressed ones.
	answered    *rate.Limiter
	quarantined *rate.Limiter
	suppressed  atomic.Uint64
	malformed   *rate.Limiter
	// overLimit limits the lines about requests over a rate limit, serverLimit those about servers' rate limits,
	// serverLeave those about leaving servers, serverPause those about pauses of servers, resumed those about resumed
	// streams, notSent those about records of streams, serverSpeed those about speeds of servers, and processor and
	// processorRefusals those about a shortage of processor time and the requests refused because of it, and foreign those
	// about responses to other requests.
	overLimit, serverLimit, serverLeave, serverPause, resumed, notSent, serverSpeed, processor, processorRefusals, foreign *lineLimiter
}

func newRequestLog(log *zap.Logger, m Metrics, c clock.Service, names wire.HeaderNames) *requestLog {
	return &requestLog{
		log: log, metrics: m, clock: c, names: names,
		answered:    rate.NewLimiter(answeredRate, answeredBurst),
		quarantined: rate.NewLimiter(quarantinedRate, quarantinedBurst),
		overLimit:   newLineLimiter(overLimitRate, overLimitBurst),
		malformed:   rate.NewLimiter(malformedRate, malformedBurst),
		serverLimit: newLineLimiter(serverLimitRate, serverLimitBurst),
		serverLeave: newLineLimiter(serverLeaveRate, serverLeaveBurst),
		serverPause: newLineLimiter(serverPauseRate, serverPauseBurst),
		serverSpeed: newLineLimiter(serverSpeedRate, serverSpeedBurst),
		resumed:     newLineLimiter(resumedRate, resumedBurst),
		notSent:     newLineLimiter(notSentRate, notSentBurst),
		processor:   newLineLimiter(processorRate, processorBurst),
		foreign:     newLineLimiter(foreignRate, foreignBurst),

		processorRefusals: newLineLimiter(processorRefusalRate, processorRefusalBurst),
	}
}

// requestEnded counts and logs a finished request. Lines about answered and quarantined requests are rate-limited;
// the next line contains the number of suppressed ones.
func (l *requestLog) requestEnded(in *inbound, req *dispatch.Request, r *record) {
	now := l.clock.Now()
	first := r.untilFirstByte(in)
	l.metrics.RequestEnded(in.route.Name, r.outcome, first.Seconds(), now.Sub(in.arrived).Seconds())
	if requested := req.AdmissionsRequested; requested > 0 {
		l.metrics.Admissions(req.AdmissionsGranted, req.AdmissionsDenied, requested-req.AdmissionsGranted-req.AdmissionsDenied)
	}
	if !l.isLogged(r.outcome, now) {
		l.suppressed.Add(1)
		return
	}
	fields := append(l.endFields(in, req, r, now), choiceFields(r.reservation)...)
	if r.outcome == outcomeRefused {
		fields = append(fields, zap.Int(fieldHolders, r.holders))
	}
	if r.refusal != nil {
		fields = append(fields, zap.String(fieldReason, r.refusal.reason), zap.Float64(fieldRetryAfter, r.refusal.retryAfter.Seconds()))
	}
	if r.unframed != nil {
		fields = append(fields, zap.Bool(fieldUnframed, true), zap.NamedError(fieldWriteError, r.unframed.WriteError()))
	}
	if n := l.suppressed.Swap(0); n > 0 {
		fields = append(fields, zap.Uint64(fieldSuppressed, n))
	}
	l.log.Info(msgRequestEnded, fields...)
}

// isLogged reports whether a line about a request with the given outcome is within the rate limits.
func (l *requestLog) isLogged(outcome string, now time.Time) bool {
	switch outcome {
	case outcomeAnswered:
		return l.answered.AllowN(now, 1)
	case outcomeQuarantined:
		return l.quarantined.AllowN(now, 1)
	}
	return true
}

// endFields returns the fields of a finished request.
func (l *requestLog) endFields(in *inbound, req *dispatch.Request, r *record, now time.Time) []zap.Field {
	return []zap.Field{
		zap.String(fieldRequest, in.id), zap.Stringer(fieldDigest, in.content.Key),
		zap.String(fieldRoute, in.route.Name), zap.String(fieldService, in.service.Name),
		zap.String(fieldModel, in.Header.Get(l.names.Model)), zap.String(fieldOutcome, r.outcome),
		zap.Int(fieldStatus, r.status), zap.Uint64(fieldConfig, in.configVersion),
		zap.Int(fieldSends, r.sends), zap.Int(fieldUnsent, r.unsent), zap.Int(fieldRuns, r.runs),
		refundField(r),
		zap.Float64(fieldWaited, r.waited.Seconds()), zap.Float64(fieldFirstByte, r.untilFirstByte(in).Seconds()),
		zap.Float64(fieldLongestGap, r.longestGap.Seconds()), zap.Int(fieldEvents, r.events),
		zap.Int(fieldAdmissionsRequested, req.AdmissionsRequested), zap.Int(fieldAdmissionsDenied, req.AdmissionsDenied),
		zap.Float64(fieldTotal, now.Sub(in.arrived).Seconds()),
		zap.Float64(fieldLimit, in.deadline.Sub(in.arrived).Seconds()), organisationField(in.organisation.Name), permitsDeniedField(req),
		headerField(in, fieldResumes, l.names.Resumes), headerField(in, fieldLastEvent, headerLastEvent),
		partsField(req),
	}
}

// refundField returns a field with the charge that was returned to the organisation's rate limit, if any.
func refundField(r *record) zap.Field {
	if r.refunded == 0 {
		return zap.Skip()
	}
	return zap.Float64(fieldRefunded, r.refunded)
}

// maxLoggedParts is the maximum number of prompt parts in a log line.
const maxLoggedParts = 16

// partsField returns a field with the IDs of the parts of the request's prompt, in order, if there are any.
func partsField(req *dispatch.Request) zap.Field {
	if len(req.Prefix) == 0 {
		return zap.Skip()
	}
	ids := make([]string, 0, min(len(req.Prefix), maxLoggedParts))
	for _, part := range req.Prefix[:cap(ids)] {
		ids = append(ids, part.ID)
	}
	return zap.Strings(fieldParts, ids)
}

// headerField returns a field with the value of a header of the request, if it has one.
func headerField(in *inbound, field, header string) zap.Field {
	value := in.Header.Get(header)
	if value == "" {
		return zap.Skip()
	}
	return zap.String(field, value)
}

// serverFields returns fields that describe a server to which a request was sent.
func serverFields(s *backend.Server) []zap.Field {
	return []zap.Field{zap.String(fieldServer, s.ID), zap.String(fieldVersion, s.Version)}
}

// permitsDeniedField returns a field with the number of times that servers' rate limits delayed the request, if any.
func permitsDeniedField(req *dispatch.Request) zap.Field {
	if req.PermitsDenied == 0 {
		return zap.Skip()
	}
	return zap.Int(fieldPermitsDenied, req.PermitsDenied)
}

// choiceFields returns fields that describe the last chosen server and the reasons for the choice.
func choiceFields(res *dispatch.Reservation) []zap.Field {
	if res == nil {
		return nil
	}
	c, among := res.Choice()
	return append(serverFields(res.Server()),
		zap.Int(fieldCandidates, among), zap.Int(fieldRunning, c.Running),
		zap.Float64(fieldPrefillAhead, float64(c.PrefillAhead)), zap.Float64(fieldPrefillTime, float64(c.PrefillTime)),
		zap.Bool(fieldOwned, c.Owned), zap.Bool(fieldSameHall, c.SameHall),
	)
}

// requestRefused logs a request that was refused before it waited for a server. Lines about requests over a rate limit
// are rate-limited.
func (l *requestLog) requestRefused(r *http.Request, refused *refusal) {
	suppressed := zap.Skip()
	if refused.status == http.StatusTooManyRequests {
		var ok bool
		if suppressed, ok = l.overLimit.allow(l.clock.Now()); !ok {
			return
		}
	}
	l.log.Info(msgRequestRefused, l.refusalFields(r, refused, suppressed)...)
}

// refusalFields returns the fields of a request that was refused before it waited for a server.
func (l *requestLog) refusalFields(r *http.Request, refused *refusal, suppressed zap.Field) []zap.Field {
	return []zap.Field{
		zap.String(fieldRequest, r.Header.Get(l.names.RequestID)), zap.String(fieldHost, r.Host),
		zap.String(fieldTarget, r.RequestURI), zap.Int(fieldStatus, refused.status), zap.String(fieldReason, refused.reason),
		organisationField(refused.organisation), suppressed,
	}
}

// organisationField returns a field with the request's organisation, if it is known.
func organisationField(organisation string) zap.Field {
	if organisation == "" {
		return zap.Skip()
	}
	return zap.String(fieldOrganisation, organisation)
}

// malformedHeader logs a malformed request header that is ignored. The lines are rate-limited.
func (l *requestLog) malformedHeader(in *inbound, header, value string) {
	if l.malformed.AllowN(l.clock.Now(), 1) {
		l.log.Info(msgMalformedHeader, zap.String(fieldRequest, in.id), zap.String("header", header), zap.String("value", value))
	}
}

// recordSend counts a send, and logs it if it is a retry.
func (l *requestLog) recordSend(f *forwarder, res *dispatch.Reservation) {
	retry := f.record.sends > 0
	l.metrics.RequestSent(f.in.service.Name, retry)
	if !retry {
		return
	}
	fields := append(serverFields(res.Server()), zap.String(fieldRequest, f.in.id), zap.String(fieldLastEvent, f.lastEvent))
	l.log.Info(msgSentAgain, fields...)
}

// sendRefused logs a send that the server refused. The line contains the time for which the server accepts no requests,
// if the response states one.
func (l *requestLog) sendRefused(f *forwarder, res *dispatch.Reservation, resp *http.Response) {
	retryAfter := zap.Skip()
	if v := resp.Header.Get(l.names.RetryAfter); v != "" {
		retryAfter = zap.String(fieldRetryAfter, v)
	}
	l.sendFailed(f, res, "refused", eris.Errorf("status %d", resp.StatusCode), retryAfter)
}

// sendFailed logs a send without a usable response.
func (l *requestLog) sendFailed(f *forwarder, res *dispatch.Reservation, reason string, err error, more ...zap.Field) {
	fields := append(more, zap.String(fieldRequest, f.in.id), zap.Stringer(fieldDigest, f.in.content.Key),
		zap.String(fieldAddr, res.Server().Addr), zap.String(fieldReason, reason), zap.Int(fieldRuns, f.record.runs),
		l.ageField(f.in), telemetry.Error(err))
	fields = append(fields, serverFields(res.Server())...)
	l.log.Info(msgSendFailed, fields...)
}

// ageField returns a field with the time since the request's arrival.
func (l *requestLog) ageField(in *inbound) zap.Field {
	return zap.Float64(fieldAge, l.clock.Now().Sub(in.arrived).Seconds())
}

// responseAborted logs a response that was aborted after it had begun.
func (l *requestLog) responseAborted(f *forwarder, err error) {
	l.log.Info(msgResponseAborted, zap.String(fieldRequest, f.in.id), zap.Stringer(fieldDigest, f.in.content.Key), f.serverField(),
		zap.String(fieldLastEvent, f.lastEvent), telemetry.Error(err))
}

// stalled logs that a request stays with a stalled server, because no other server can take it or the retry budget is
// spent.
func (l *requestLog) stalled(in *inbound, res *dispatch.Reservation) {
	l.log.Info(msgServerStalled, zap.String(fieldRequest, in.id), zap.String(fieldServer, res.Server().ID), l.ageField(in))
}

// admissionFailed logs a failed admission request to another gateway.
func (l *requestLog) admissionFailed(owner string, err error) {
	l.log.Warn(msgAdmissionFailed, zap.String("owner", owner), telemetry.Error(err))
}

// grantFailed logs a failed request for a grant to the owner of an organisation's rate limit.
func (l *requestLog) grantFailed(organisation, gateway string, err error) {
	l.log.Warn(msgGrantFailed, organisationField(organisation), zap.String("owner", gateway), telemetry.Error(err))
}

// permitFailed logs a failed request for a permit to the owner of a backend server's rate limit.
func (l *requestLog) permitFailed(server, gateway string, err error) {
	l.log.Warn(msgPermitFailed, zap.String(fieldServer, server), zap.String("owner", gateway), telemetry.Error(err))
}

// serverLoads logs the load of the servers that this gateway owns and for which requests wait.
func (l *requestLog) serverLoads(list []dispatch.CountedLoad) {
	for _, x := range list {
		if x.Queued > 0 {
			l.log.Info(msgServerLoad, zap.String(fieldServer, x.Server), zap.Int(fieldRunning, x.Running),
				zap.Int(fieldSlots, x.Slots), zap.Int(fieldQueued, x.Queued))
		}
	}
}

// watchSwitched logs whether a prefix is now watched at the store or through the leader.
func (l *requestLog) watchSwitched(prefix string, direct bool) {
	msg := msgWatchThroughLeader
	if direct {
		msg = msgWatchDirect
	}
	l.log.Info(msg, zap.String("prefix", prefix))
}
