package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// An inbound is a caller's request, as known at its start; it does not change.
type inbound struct {
	*http.Request
	id string
	// key identifies the request's content: copies of it have other ids.
	key     quarantine.Key
	route   table.Route
	service table.Service
	// organisation is whose key the request came with; the zero Organisation if it needs none.
	organisation table.Organisation
	// withoutKey says that the system keeps the caller's key and names the organisation itself.
	withoutKey bool
	// target is the model and adapter asked for; empty for a plain service's requests.
	target backend.Adapter
	// configVersion is that of the configuration that the request was matched with.
	configVersion uint64
	// body is read whole, so that it can be sent again.
	body    []byte
	arrived time.Time
	// deadline is when the caller or the route stops waiting.
	deadline time.Time
	// cost is what it counts against the organisation's limit, in that limit's unit.
	cost float64
	// needs is the request as the dispatcher sees it.
	needs dispatch.Request
}

// read reads and checks a request, and refuses one that surely cannot be served.
func (p *proxy) read(w http.ResponseWriter, r *http.Request) (*inbound, *refusal) {
	now := p.clock.Now()
	// The age is taken before the configuration: one that comes in between is newer, never older.
	configAge := p.access.configAge(now)
	routing := p.config.routing()
	if routing == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryUnready}
	}
	limits := routing.Limits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", closeConn: true}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := routing.Match(r.Host, path)
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, reason: "no such route"}
	}
	ids := r.Header.Values(p.names.RequestID)
	if len(ids) != 1 || ids[0] == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "one request id is needed"}
	}
	organisation, refused := p.access.check(r, routing, route, configAge)
	if refused != nil {
		return nil, refused
	}
	if organisation.Priority != nil {
		route.Priority = *organisation.Priority
	}
	body, refused := p.readBody(w, r, limits.BodyBytes)
	if refused != nil {
		return nil, refused
	}
	in := &inbound{
		Request: r, id: ids[0], key: keyOf(r, body), route: route, configVersion: routing.Version(), body: body, arrived: now,
		organisation: organisation, withoutKey: routing.NeedsKeys(),
	}
	if refused := p.resolve(in, routing); refused != nil {
		return nil, refused
	}
	return in, nil
}

// keyOf returns the key of a request and its body. The caller is known by its credentials, and not at all
// without them: its address says nothing, for one caller sends copies from many.
func keyOf(r *http.Request, body []byte) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Body: body,
	})
}

// resolve fills in the service, the deadline and what the request needs.
func (p *proxy) resolve(in *inbound, routing *table.Routing) *refusal {
	var ok bool
	in.service, ok = routing.Service(in.route.Pick(rand.Uint64()))
	if !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no such service yet", retryAfter: retrySoon}
	}
	in.target = backend.ParseAdapter(in.Header.Get(p.names.Model))
	if !in.mayBeServed() {
		return notRun("the model is not configured", retryConfigured)
	}
	in.deadline, ok = deadlineOf(in.arrived, in.route.Timeout, in.Header.Get(p.names.Deadline))
	if !ok {
		return &refusal{status: http.StatusBadRequest, reason: "the deadline is not a number of milliseconds"}
	}
	in.cost = p.costOf(in)
	in.needs = p.needsOf(in)
	return nil
}

// mayBeServed reports whether the service's servers can ever serve the request: engines only
// load models that are configured. Adapters are configured by number, so they are not
// looked at, and a service without servers may get some while the request waits.
func (in *inbound) mayBeServed() bool {
	if in.service.Engine == nil || in.target.Model == "" {
		return true
	}
	_, ok := in.service.Engine.Model(in.target.Model)
	return ok
}

// headerBytes returns the size of a request's header as it was sent, about.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body of at most limit bytes, if there is a limit.
func (p *proxy) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConn: true}
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLong
	}
	// A connection that takes no deadline is closed or about to be: reading says so.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(clock.SystemDeadline(p.bodyTime))
	var src io.Reader = r.Body
	if limit > 0 {
		src = io.LimitReader(src, limit+1)
	}
	body, err := readAll(src, r.ContentLength)
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		return nil, &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly", closeConn: true}
	}
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the body ended early", closeConn: true}
	}
	if limit > 0 && int64(len(body)) > limit {
		return nil, tooLong
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// maxPresized bounds the buffer that is made for a body by its announced length alone.
const maxPresized = 1 << 20

// readAll reads to the end, into one buffer if the size is announced.
func readAll(r io.Reader, size int64) ([]byte, error) {
	if size <= 0 || size > maxPresized {
		return io.ReadAll(r)
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(r, buf)
	return buf[:n], err
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// defaultTimeout is how long a request may take whose route and caller set no limit.
const defaultTimeout = time.Minute

// deadlineOf returns when a request ends: after the shorter of the route's time and the
// caller's, in milliseconds. It reports false if the caller's is not a number.
func deadlineOf(arrived time.Time, timeout time.Duration, header string) (time.Time, bool) {
	if header != "" {
		ms, err := strconv.ParseInt(strings.TrimSpace(header), 10, 64)
		if err != nil || ms < 0 {
			return time.Time{}, false
		}
		d := time.Duration(ms) * time.Millisecond
		if timeout <= 0 || d < timeout {
			timeout = d
		}
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return arrived.Add(timeout), true
}
