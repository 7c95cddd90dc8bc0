package gateway

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/bodybuffer"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/resumption"
	"rockcleat/table"
)

// An inbound is a caller's request with what was determined when it arrived. It does not change afterwards.
type inbound struct {
	*http.Request
	id string
	// content is shared by copies of the request, parts by requests whose prompts have a part in common.
	content quarantine.Trait
	parts   []quarantine.Trait
	route   table.Route
	service table.Service
	// organisation owns the key that the request came with; the zero Organisation if none is needed.
	organisation table.Organisation
	// dropsKey reports whether the API key must not be forwarded to servers.
	dropsKey bool
	// target is the requested model and adapter; empty for services without engines.
	target backend.Adapter
	// configVersion is the version of the configuration that matched the request.
	configVersion uint64
	// body is buffered completely, so that the request can be sent again.
	body    []byte
	arrived time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	// streamKey identifies the stream that the request begins or resumes.
	streamKey resumption.Key
	// resumed describes the stream that the request resumes; nil if it begins one.
	resumed *resumedStream
	// cost is charged to the organisation's rate limit, in the limit's unit.
	cost float64
	// charge is what the request has spent of that limit.
	charge quota.Charge
	// requirements is the initial request to the dispatcher.
	requirements dispatch.Request
}

// read reads and validates a request. It refuses requests that cannot be served. The body is charged to buffers.
func (p *proxy) read(w http.ResponseWriter, r *http.Request, buffers *bodybuffer.Reservation) (*inbound, *refusal) {
	// The age is computed before the configuration is loaded: a configuration that arrives in between is newer.
	configAge := p.authenticator.configAge(p.clock.Now())
	routing := p.config.routing()
	in, refused := p.admit(r, routing, configAge)
	if refused != nil {
		return nil, refused.leaveBody(r)
	}
	body, refused := p.readBody(w, r, bodyLimits{bytes: routing.Limits().BodyBytes, buffers: buffers})
	if refused != nil {
		return nil, refused
	}
	in.body, in.content = body, contentOf(r, body)
	if refused := p.resolveStream(r.Context(), in); refused != nil {
		return nil, refused
	}
	if refused := p.resolve(in, routing); refused != nil {
		return nil, refused
	}
	if !p.lifecycle.canFinish(p.clock.Now(), in.deadline) {
		return nil, notRun("this gateway is stopping", minRetryAfter)
	}
	return in, nil
}

// admit checks the header of a request by a configuration of the given age, which is nil if there is none yet.
func (p *proxy) admit(r *http.Request, routing *table.Routing, configAge time.Duration) (*inbound, *refusal) {
	now := p.clock.Now()
	if routing == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryAfterUnready}
	}
	if limit := routing.Limits().HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", closeConn: true}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := routing.Match(r.Host, path)
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, reason: "no such route"}
	}
	if targetURL(r.RequestURI, "") == nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the request target is not a valid path"}
	}
	ids := r.Header.Values(p.names.RequestID)
	if len(ids) != 1 || ids[0] == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "one request id is needed"}
	}
	organisation, refused := p.authenticator.authenticate(r, routing, route, configAge)
	if refused != nil {
		return nil, refused
	}
	if organisation.Priority != nil {
		route.Priority = *organisation.Priority
	}
	return &inbound{
		Request: r, id: ids[0], route: route, configVersion: routing.Version(), arrived: now,
		organisation: organisation, dropsKey: routing.RequiresKeys(),
	}, nil
}

// contentOf returns the content of a request with the given body as a trait. The caller is identified by its credentials
// only: the same caller may send copies from many addresses.
func contentOf(r *http.Request, body []byte) quarantine.Trait {
	return quarantine.ContentTrait(quarantine.KeyOf(quarantine.Request{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Host: r.Host, Target: r.RequestURI, Body: body,
	}))
}

// traits returns all traits of the request by which it may make servers crash.
func (in *inbound) traits() []quarantine.Trait {
	return append([]quarantine.Trait{in.content}, in.parts...)
}

// resolve sets the request's service, deadline, cost and dispatcher request.
func (p *proxy) resolve(in *inbound, routing *table.Routing) *refusal {
	var ok bool
	in.service, ok = routing.Service(in.pickService())
	if !ok {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no such service yet", retryAfter: minRetryAfter}
	}
	in.target = backend.ParseAdapter(in.Header.Get(p.names.Model))
	if !in.isServable() {
		return notRun("the model is not configured", retryAfterUnknownModel)
	}
	in.deadline, ok = deadlineOf(in.arrived, in.route.Timeout, in.Header.Get(p.names.Deadline))
	if !ok {
		return &refusal{status: http.StatusBadRequest, reason: "the deadline is not a number of milliseconds"}
	}
	in.cost = p.costOf(in)
	prompt := parsePrompt(in.Header.Get(p.names.Prefix))
	in.parts = quarantine.PartTraits(in.service.Name, partIDs(prompt))
	in.requirements = p.requirementsOf(in, prompt)
	return nil
}

// isServable reports whether the service may be able to serve the request's model: engines load only configured models.
// Adapters are not checked, since the configuration contains only their number. A service without servers is
// accepted, since it may get some while the request waits.
func (in *inbound) isServable() bool {
	if in.service.Engine == nil || in.target.Model == "" {
		return true
	}
	_, ok := in.service.Engine.Model(in.target.Model)
	return ok
}

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// defaultTimeout applies to requests for which neither the route nor the caller sets a timeout.
const defaultTimeout = time.Minute

// deadlineOf returns the deadline of a request: its arrival plus the shorter of the route's timeout and the caller's.
// header holds the caller's timeout in milliseconds; it may be empty. deadlineOf returns false if it is malformed.
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
