package gateway

import (
	"net/http"
	"time"

	"rockcleat/backend"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/wire"
	"rockcleat/serverlimit"
)

// A responseObserver evaluates what backend servers announce about themselves in the headers of their responses.
type responseObserver struct {
	names        wire.HeaderNames
	serverLimits *serverlimit.Table
	departures   *departure.Table
	requestLog   *requestLog
}

// A responseHead is the part of a response that announcements depend on.
type responseHead struct {
	// server is the ID of the server instance.
	server string
	status int
	header http.Header
	// request is the ID of the caller's request, empty if the response is to a call of the leader.
	request string
}

func (p *components) newResponseObserver(o Options) *responseObserver {
	return &responseObserver{
		names: o.Names, serverLimits: p.serverLimits.Table, departures: p.departures, requestLog: p.requestLog,
	}
}

// observe evaluates a response to a caller's request that was sent at the given time. It ignores responses to other
// requests, and responses with status 421, which come from a server other than the intended one.
func (o *responseObserver) observe(in *inbound, res *dispatch.Reservation, resp *http.Response, sent time.Time) {
	if resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(o.names.RequestID) != in.id {
		return
	}
	r := responseHead{server: res.Server().ID, status: resp.StatusCode, header: resp.Header, request: in.id}
	o.observeLimit(r, sent)
	o.observeLeaving(r)
}

// observeCall evaluates a response to an order or to a request for a report.
func (o *responseObserver) observeCall(s *backend.Server, status int, h http.Header) {
	o.observeLeaving(responseHead{server: s.ID, status: status, header: h})
}

// observeLimit records the rate limit that a server announces, or that it announces none.
func (o *responseObserver) observeLimit(r responseHead, sent time.Time) {
	values := r.header.Values(o.names.ServerLimit)
	limit := serverlimit.ParseHeader(values)
	if limit.Kind == serverlimit.Invalid {
		o.requestLog.malformedAnnouncement(r.server, o.names.ServerLimit, values)
	}
	o.serverLimits.Observe(r.server, limit, sent)
}

// observeLeaving records that a server announces that it is leaving.
func (o *responseObserver) observeLeaving(r responseHead) {
	values := r.header.Values(o.names.Leaving)
	if len(values) == 0 {
		return
	}
	if !isLeaving(values) {
		o.requestLog.malformedAnnouncement(r.server, o.names.Leaving, values)
		return
	}
	if o.departures.Observe(r.server) {
		o.requestLog.serverLeaving(r)
	}
}

// isLeaving reports whether the values of the header by which a server announces that it is leaving are valid: a
// single 1.
func isLeaving(values []string) bool { return len(values) == 1 && values[0] == "1" }
