package gateway

import (
	"net/http"
	"time"

	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/wire"
	"rockcleat/serverlimit"
)

// A responseObserver evaluates what backend servers announce about themselves in the headers of their responses to
// callers' requests.
type responseObserver struct {
	names        wire.HeaderNames
	serverLimits *serverlimit.Table
	departures   *departure.Table
	requestLog   *requestLog
}

func (p *components) newResponseObserver(o Options) *responseObserver {
	return &responseObserver{
		names: o.Names, serverLimits: p.serverLimits.Table, departures: p.departures, requestLog: p.requestLog,
	}
}

// observe evaluates a response to a request that was sent at the given time. It ignores responses to other requests,
// and responses with status 421, which come from a server other than the intended one.
func (o *responseObserver) observe(in *inbound, res *dispatch.Reservation, resp *http.Response, sent time.Time) {
	if resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(o.names.RequestID) != in.id {
		return
	}
	o.observeLimit(res.Server().ID, resp.Header, sent)
	o.observeLeaving(in, res.Server().ID, resp)
}

// observeLimit records the rate limit that a server announces, or that it announces none.
func (o *responseObserver) observeLimit(server string, h http.Header, sent time.Time) {
	values := h.Values(o.names.ServerLimit)
	limit := serverlimit.ParseHeader(values)
	if limit.Kind == serverlimit.Invalid {
		o.requestLog.malformedAnnouncement(server, o.names.ServerLimit, values)
	}
	o.serverLimits.Observe(server, limit, sent)
}

// observeLeaving records that a server announces that it is leaving.
func (o *responseObserver) observeLeaving(in *inbound, server string, resp *http.Response) {
	values := resp.Header.Values(o.names.Leaving)
	if len(values) == 0 {
		return
	}
	if !isLeaving(values) {
		o.requestLog.malformedAnnouncement(server, o.names.Leaving, values)
		return
	}
	if o.departures.Observe(server) {
		o.requestLog.serverLeaving(in, server, resp.StatusCode)
	}
}

// isLeaving reports whether the values of the header by which a server announces that it is leaving are valid: a
// single 1.
func isLeaving(values []string) bool { return len(values) == 1 && values[0] == "1" }
