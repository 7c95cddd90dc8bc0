package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/apikey"
)

// headerLastEvent is the event after which a stream is to go on. A caller may send it too.
const headerLastEvent = "Last-Event-Id"

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// maxPriority is the least urgent rank that engines know, as the users' platform defines it
// (docs/design/0008).
const maxPriority = 9

// outgoingHeader returns the header with which a request goes to a server, for every send of
// every request: first sends, retries and resumed streams, to engines and plain servers.
//
// The caller's headers are passed on but for those of one connection and those that only
// the system may set (wire.Names.Reserved): engines obey them whoever sent them.
func (f *forwarder) outgoingHeader(server string) http.Header {
	names := f.proxy.names
	h := f.in.Header.Clone()
	removeConnectionHeaders(h)
	for _, name := range names.Reserved {
		h.Del(name)
	}
	f.in.setOrganisation(h, names.Organisation)
	if _, ok := h["User-Agent"]; !ok {
		// net/http would add its own.
		h["User-Agent"] = nil
	}
	h.Set(names.Deadline, formatMilliseconds(f.in.deadline.Sub(f.proxy.clock.Now())))
	h.Set(names.Expect, server)
	h.Del(names.Priority)
	if f.req.Model != "" {
		h.Set(names.Priority, strconv.Itoa(min(f.in.route.Priority, maxPriority)))
	}
	if f.lastEvent != "" {
		h.Set(headerLastEvent, f.lastEvent)
	}
	return h
}

// setOrganisation names the organisation to the server in place of the caller's key, which servers are never
// shown. A configuration without organisations leaves both headers to the caller.
func (in *inbound) setOrganisation(h http.Header, header string) {
	if !in.withoutKey {
		return
	}
	h.Del(apikey.Header)
	h.Del(header)
	if in.organisation.Name != "" {
		h.Set(header, in.organisation.Name)
	}
}

// formatMilliseconds writes a time in whole milliseconds, at least one.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// removeConnectionHeaders removes the headers that concern one connection only, and those
// that Connection names.
func removeConnectionHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}
