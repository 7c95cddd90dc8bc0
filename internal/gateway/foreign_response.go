package gateway

import (
	"net/http"
	"net/http/httptrace"

	"go.uber.org/zap"

	"rockcleat/dispatch"
)

// Kinds of responses that are not surely those of the requests for which they came, as used in log lines and metrics.
const (
	// foreignOtherID: the response names another request; foreignNoID: it names none; foreignSeveralIDs: it names several.
	foreignOtherID    = "other"
	foreignNoID       = "none"
	foreignSeveralIDs = "several"
)

// foreignKind returns the kind of a response with the given request IDs.
func foreignKind(ids []string) string {
	switch len(ids) {
	case 0:
		return foreignNoID
	case 1:
		return foreignOtherID
	}
	return foreignSeveralIDs
}

// foreignResponse counts and logs a response that is not surely that of the request. The lines are rate-limited.
func (l *requestLog) foreignResponse(f *forwarder, res *dispatch.Reservation, i httptrace.GotConnInfo, resp *http.Response) {
	kind := foreignKind(resp.Header.Values(l.names.RequestID))
	fields := append(serverFields(res.Server()), zap.String(fieldRequest, f.in.id), zap.Bool(fieldConnReused, i.Reused),
		zap.Float64(fieldConnIdle, i.IdleTime.Seconds()))
	l.logForeign(kind, res.Server().Addr, resp, fields)
}

func (l *requestLog) logForeign(kind, addr string, resp *http.Response, fields []zap.Field) {
	l.metrics.ForeignResponse(kind)
	suppressed, ok := l.foreign.allow(l.clock.Now())
	if !ok {
		return
	}
	l.log.Warn(msgForeignResponse, append(fields, zap.String(fieldKind, kind), zap.String(fieldAddr, addr),
		zap.Strings(fieldResponseTo, resp.Header.Values(l.names.RequestID)), zap.Int(fieldStatus, resp.StatusCode),
		zap.Bool(fieldNotRunMark, resp.Header.Get(l.names.NotRun) != ""), suppressed)...)
}
