package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/apikey"
)

// headerLastEvent names the event after which a stream resumes. Callers may send it too.
const headerLastEvent = "Last-Event-Id"

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// maxPriority is the least urgent priority that engines accept, as the platform defines it (docs/design/0008).
const maxPriority = 9

// serverRequestHeader returns the header of a request to a server. It is used for first sends, retries and resumed
// streams, to engines and other servers alike.
//
// It forwards the caller's headers except hop-by-hop headers and those in wire.HeaderNames.Reserved. Only the system
// may set the reserved ones, because engines obey them regardless of the sender.
func (f *forwarder) serverRequestHeader(server string) http.Header {
	names := f.proxy.names
	h := f.in.Header.Clone()
	removeConnectionHeaders(h)
	for _, name := range names.Reserved {
		h.Del(name)
	}
	f.in.setOrganisation(h, names.Organisation)
	if _, ok := h["User-Agent"]; !ok {
		// A nil value keeps net/http from adding its own.
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

// setOrganisation replaces the caller's API key with the organisation's name. It leaves the headers unchanged if the
// configuration has no organisations.
func (in *inbound) setOrganisation(h http.Header, header string) {
	if !in.dropsKey {
		return
	}
	h.Del(apikey.Header)
	h.Del(header)
	if in.organisation.Name != "" {
		h.Set(header, in.organisation.Name)
	}
}

// formatMilliseconds formats d in whole milliseconds, at least 1.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10)
}

// removeConnectionHeaders removes hop-by-hop headers, including those that Connection lists.
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
