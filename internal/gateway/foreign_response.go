package gateway

import (
	"net/http"

	"go.uber.org/zap"

	"rockcleat/dispatch"
	"rockcleat/internal/serverconn"
)

// Kinds of responses that are not surely those of the requests for which they came, as used in log lines and metrics.
const (
	// foreignOtherID: the response names another request; foreignNoID: it names none; foreignSeveralIDs: it names several.
	foreignOtherID    = "other"
	foreignNoID       = "none"
	foreignSeveralIDs = "several"
	// foreignCut: the response names the request, but begins with a part of another response.
	foreignCut = "cut"
	// foreignUnsolicited: the response arrived before the request was written.
	foreignUnsolicited = "unsolicited"
)

// foreignKind returns the kind of a response with the given request IDs that came for the request with the given ID.
func foreignKind(id string, ids []string) string {
	switch {
	case len(ids) == 0:
		return foreignNoID
	case len(ids) > 1:
		return foreignSeveralIDs
	case ids[0] == id:
		return foreignCut
	}
	return foreignOtherID
}

// foreignResponse counts and logs a response that is not surely that of the request. The lines are rate-limited.
func (l *requestLog) foreignResponse(f *forwarder, res *dispatch.Reservation, x *serverconn.Exchange, resp *http.Response) {
	kind := foreignKind(f.in.id, resp.Header.Values(l.names.RequestID))
	fields := append(serverFields(res.Server()), zap.String(fieldRequest, f.in.id), zap.Bool(fieldConnReused, x.Reused()),
		zap.Float64(fieldConnAge, x.Age().Seconds()), zap.Float64(fieldConnIdle, x.Idle().Seconds()))
	l.logForeign(kind, res.Server().Addr, resp, fields)
}

// unsolicitedResponse counts and logs a response that arrived from the server at an address before the request was written.
// The lines are rate-limited.
func (l *requestLog) unsolicitedResponse(addr string, resp *http.Response) {
	l.logForeign(foreignUnsolicited, addr, resp, nil)
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
