package gateway

import (
	"net/http"
	"time"

	"rockcleat/backend"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/decimal"
	"rockcleat/internal/wire"
	"rockcleat/serverlimit"
)

// A responseObserver evaluates what backend servers announce about themselves in the headers of their responses.
type responseObserver struct {
	names        wire.HeaderNames
	serverLimits *serverlimit.Table
	departures   *departure.Table
	dispatcher   *dispatch.Dispatcher
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
		names: o.Names, serverLimits: p.serverLimits.Table, departures: p.departures, dispatcher: p.dispatcher, requestLog: p.requestLog,
	}
}

// observe evaluates the response to a caller's request that was sent at the given time. It ignores responses with status
// 421, which come from a server other than the intended one.
func (o *responseObserver) observe(in *inbound, res *dispatch.Reservation, resp *http.Response, sent time.Time) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	r := responseHead{server: res.Server().ID, status: resp.StatusCode, header: resp.Header, request: in.id}
	o.observeLimit(r, sent)
	o.observeLeaving(r)
	o.observePause(r, sent)
}

// observeCall evaluates a response to an order or to a request for a report.
func (o *responseObserver) observeCall(s *backend.Server, status int, h http.Header) {
	r := responseHead{server: s.ID, status: status, header: h}
	o.observeLeaving(r)
	if isRefusal(status) {
		o.observeRefusal(r)
	}
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

// observePause records that a server that refuses a request accepts no requests for some time, or that it has accepted
// one.
func (o *responseObserver) observePause(r responseHead, sent time.Time) {
	switch {
	case isRefusal(r.status):
		o.observeRefusal(r)
	case o.dispatcher.RecordAccepted(r.server, sent):
		o.requestLog.pauseEnded(r)
	}
}

// observeRefusal records the time for which a server that refuses a request accepts no requests, if it states one.
func (o *responseObserver) observeRefusal(r responseHead) {
	values := r.header.Values(o.names.RetryAfter)
	if len(values) == 0 {
		return
	}
	period, ok := parseRetryAfter(values)
	if !ok {
		o.requestLog.malformedAnnouncement(r.server, o.names.RetryAfter, values)
		return
	}
	if period > 0 {
		remaining, began := o.dispatcher.Pause(r.server, period)
		o.requestLog.serverPaused(r, period, remaining, began)
	}
}

// isRefusal reports whether a response with a status may state when the server takes requests again.
func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// parseRetryAfter parses the values of a Retry-After header. Valid is a single decimal number of seconds; a date is not,
// since the clocks of servers and gateways differ.
func parseRetryAfter(values []string) (time.Duration, bool) {
	if len(values) != 1 {
		return 0, false
	}
	seconds, ok := decimal.Parse(values[0])
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), ok
}

// maxRetryAfter is the maximum time that a server may state. It keeps an absurd value from taking a server out of use for
// good.
const maxRetryAfter = 10 * time.Minute
