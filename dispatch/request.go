package dispatch

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// A Request holds the properties of a client request that scheduling depends on.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service. Adapter is also empty for the base model.
	Model, Adapter string
	// PromptTokens is the length of the prompt, MaxOutputTokens the maximum number of tokens to
	// generate.
	PromptTokens, MaxOutputTokens int
	// OutputEstimate is the caller's estimate of the number of tokens that will be generated; 0 if there is none.
	OutputEstimate int
	// Prefix lists the leading blocks of the prompt.
	Prefix []PrefixBlock
	// FirstByteObjective is the target time to first byte; 0 means none.
	FirstByteObjective time.Duration
	// Priority orders waiting requests. A lower value is served first; 0 is the highest priority.
	Priority int
	// Organisation is the organisation that pays for the request; empty if there is none. Weight is its part of scarce
	// capacity relative to other organisations.
	Organisation string
	Weight       float64
	// ContentKey is the same for requests with the same content of the same caller; 0 if it is not known.
	ContentKey uint64
	// Arrived is when the request arrived, Deadline when it must have been answered; zero if they are not known.
	Arrived, Deadline time.Time
	// WaitUntil is when the request stops waiting for a server.
	WaitUntil time.Time
	// SendBy is the latest time at which the request can be sent and still meet its objective.
	// After it the request is late and may use only part of an engine. Waiting requests whose
	// SendBy has not passed are served before all others. The zero value sets no limit.
	SendBy time.Time
	// Gap limits the time between two events of the response stream.
	Gap GapBudget
	// Exclude lists the IDs of servers that must not be chosen.
	Exclude []string
	// Halls holds the data halls whose servers may get the request; nil allows all halls.
	Halls map[string]bool
	// Version is the software version that the server must run, since only it can continue the request's stream; nil
	// allows all versions.
	Version *string
	// Resumable means that the request's stream can be continued after its first event, by a server of the same version.
	Resumable bool
	// MayHaveRun means that a server may have processed the request already. Such a request is
	// never late and never shed.
	MayHaveRun bool
	// OnTrial means that servers have crashed under similar requests. It is sent to a server where a crash
	// affects few others.
	OnTrial bool
	// OnWait, if not nil, is called whenever the request begins to wait for a server. It must not call the Dispatcher.
	OnWait func()
	// AdmissionsRequested is the number of admissions requested from other gateways,
	// AdmissionsGranted and AdmissionsDenied the numbers granted and denied; the others got no
	// usable reply.
	AdmissionsRequested, AdmissionsGranted, AdmissionsDenied int
	// PermitsDenied is the number of permits denied for servers with a rate limit.
	PermitsDenied int
	// admittedLate means that the request is late according to the gateway that requested
	// admission; its SendBy is not known here.
	admittedLate bool
	// sequence is the request's position in the order of arrival, from 1; 0 if it has never waited.
	sequence uint64
	// refusedBy lists the servers whose owners do not expect to admit the request in time. shortestWait is the shortest
	// wait that they expect.
	refusedBy    []string
	shortestWait time.Duration
}

// beginWait calls OnWait.
func (r *Request) beginWait() {
	if r.OnWait != nil {
		r.OnWait()
	}
}

// tokens returns the maximum cache memory that the request uses.
func (r *Request) tokens() int {
	if r.Model == "" {
		return 0
	}
	return r.PromptTokens + r.MaxOutputTokens
}

// isLate reports whether the request can no longer meet its objective. A request that may have run
// is never late, since the client may have received part of the response.
func (r *Request) isLate(now time.Time) bool {
	if r.MayHaveRun {
		return false
	}
	return r.admittedLate || !r.SendBy.IsZero() && !now.Before(r.SendBy)
}

func (r *Request) isExcluded(server string) bool { return slices.Contains(r.Exclude, server) }

// allows reports whether a server accepts requests, is in a data hall that the request allows and runs the software
// version that the request needs.
func (r *Request) allows(s *backend.Server) bool {
	return r.allowsApartFromVersion(s) && (r.Version == nil || *r.Version == s.Version)
}

func (r *Request) allowsApartFromVersion(s *backend.Server) bool {
	return s.AcceptsRequests() && (r.Halls == nil || r.Halls[s.Hall])
}

// isRestricted reports whether the request has fewer servers to go to than others that need the same model.
func (r *Request) isRestricted() bool {
	return len(r.Exclude) > 0 || r.Halls != nil || r.Version != nil
}

// mayUse reports whether the request may be sent to a server, whatever the server holds.
func (r *Request) mayUse(s *backend.Server) bool { return r.allows(s) && !r.isExcluded(s.ID) }

// isHeldBy reports whether a server holds the request's model and adapter, if it needs any.
func (r *Request) isHeldBy(s *backend.Server) bool {
	return r.Model == "" || s.Holds(r.Model, r.Adapter)
}

// targetKey returns the key of the model or adapter: MODEL or MODEL/ADAPTER.
func (r *Request) targetKey() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// A queueKey identifies requests that need the same servers.
type queueKey struct{ service, target string }

func (r *Request) queueKey() queueKey { return queueKey{service: r.Service, target: r.targetKey()} }

// isAheadOf reports whether r is ahead of o in the wait queue.
func (r *Request) isAheadOf(o *Request) bool {
	if r.Priority != o.Priority {
		return r.Priority < o.Priority
	}
	return r.sequence < o.sequence
}
