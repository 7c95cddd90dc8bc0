package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"rockcleat/backend"
	"rockcleat/resumption"
	"rockcleat/table"
)

// A resumedStream describes a stream that a caller resumes.
type resumedStream struct {
	// attempt is the ID of the attempt that brought the first event; empty if the caller does not name it.
	attempt string
	origin  originLookup
}

// resumes reports whether a request resumes a stream: it names the attempt that began it, or its last event.
func (p *proxy) resumes(in *inbound) bool {
	return in.route.Stream && (in.Header.Get(p.names.Resumes) != "" || in.Header.Get(headerLastEvent) != "")
}

// resolveStream sets the key of the request's stream and, if the request resumes a stream, its origin. It refuses a
// request whose stream cannot be resumed: a server of another version would append events that do not fit.
func (p *proxy) resolveStream(ctx context.Context, in *inbound) *refusal {
	attempts := in.Header.Values(p.names.Resumes)
	if in.route.Stream && len(attempts) > 1 {
		return &refusal{status: http.StatusBadRequest, reason: "the request resumes more than one attempt"}
	}
	in.streamKey = resumption.KeyOf(in.organisation.Name, in.id)
	if !p.resumes(in) {
		return nil
	}
	s := &resumedStream{attempt: in.Header.Get(p.names.Resumes)}
	if s.attempt != "" {
		in.streamKey = resumption.KeyOf(in.organisation.Name, s.attempt)
	}
	// Without an attempt the key has no record, but the service may have had one version only.
	s.origin = p.origins.find(ctx, in.streamKey, onlyService(in.route))
	p.requestLog.streamResumed(in, s)
	in.resumed = s
	switch {
	case s.origin.source == originUnknown:
		return notRun("the version that began the stream is not known", 0)
	case !in.mayUseService(s.origin.Service):
		return notRun("the route no longer leads to the service of the stream", 0)
	}
	return nil
}

// onlyService returns the service of a route, or an empty string if the route has several.
func onlyService(r table.Route) string {
	if len(r.Services) != 1 {
		return ""
	}
	return r.Services[0].Service
}

// mayUseService reports whether the route sends requests to a service.
func (in *inbound) mayUseService(service string) bool {
	return slices.ContainsFunc(in.route.Services, func(s table.WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// pickService returns the service that gets the request: that of the stream which it resumes, or one of the route's.
func (in *inbound) pickService() string {
	if in.resumed != nil {
		return in.resumed.origin.Service
	}
	return in.route.PickService(rand.Uint64())
}

// requiredVersion returns the software version that continues the request's stream, or nil if there is none yet.
func (in *inbound) requiredVersion() *string {
	if in.resumed == nil {
		return nil
	}
	return &in.resumed.origin.Version
}

// bindToVersion is called before each event of a server is sent to the caller. From the first one on, only servers of the
// same version can continue the stream, here and at other gateways, to which its origin is sent.
func (f *forwarder) bindToVersion(s *backend.Server) {
	if f.record.events > 0 || f.in.route.Retry != table.RetryResume {
		return
	}
	version := s.Version
	f.req.Version = &version
	f.version.Store(&version)
	f.proxy.origins.record(f.in.streamKey, resumption.Origin{Service: f.in.service.Name, Version: version})
}
