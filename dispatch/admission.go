package dispatch

import (
	"context"
	"time"

	"rockcleat/backend"
)

// An AdmissionRequest asks the gateway that owns an engine for the right to send it one
// request.
type AdmissionRequest struct {
	Server string `json:"s"`
	// The rest describes the request, as in Request.
	Model           string        `json:"m"`
	Adapter         string        `json:"a,omitempty"`
	Prefix          []PrefixBlock `json:"k,omitempty"`
	PromptTokens    int           `json:"p"`
	MaxOutputTokens int           `json:"o"`
	Gap             GapBudget     `json:"l"`
	// Late says that the answer cannot begin in time any more.
	Late bool `json:"t,omitempty"`
}

// An AdmissionReply is the answer of the gateway that was asked.
type AdmissionReply struct {
	// Owned says that the answering gateway owns the engine; all else is empty otherwise.
	Owned bool `json:"y"`
	// Admitted says that the request may be sent.
	Admitted bool `json:"g,omitempty"`
	// Load is the load of all gateways at the engine, as the owner knows it.
	Load Load `json:"l"`
	// RetryAfterMs is when to ask again if the request is not admitted, in milliseconds.
	RetryAfterMs int `json:"a,omitempty"`
}

// Owners asks other gateways for admission at the engines that they own.
type Owners interface {
	// Admit returns the owner's answer, or an error if there is none in time.
	Admit(ctx context.Context, owner string, r AdmissionRequest) (AdmissionReply, error)
}

// Times of admission.
const (
	// ownerSuspension is how long an owner that did not answer is not asked again: a
	// gateway that has stopped is off the list of gateways after two seconds.
	ownerSuspension = 700 * time.Millisecond
	// grantAge is after how long a granted request is in the loads that gateways
	// report; reports come each 80 ms up to 24 gateways.
	grantAge = 400 * time.Millisecond
	// minGrantRetry is the shortest pause before asking again.
	minGrantRetry = 5 * time.Millisecond
	// fullGrantRetry is the pause for an engine without a slot or memory left, which
	// comes free when a request ends.
	fullGrantRetry = 50 * time.Millisecond
)

// A grant is an admission given to another gateway's request.
type grant struct {
	at         time.Time
	needTokens int
}

// Admit decides for the owner of an engine whether another gateway may send a request there.
func (d *Dispatcher) Admit(r AdmissionRequest) AdmissionReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers.Server(r.Server)
	if !ok || !d.owners.owns(s) {
		return AdmissionReply{}
	}
	req := &Request{
		Service: s.Service, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens, Gap: r.Gap, admittedLate: r.Late,
	}
	now := d.opts.Clock.Now()
	c := d.candidate(req, s, d.opts.CacheTokens(s.Service), now)
	reply := AdmissionReply{Owned: true, Load: c.load()}
	if s.Leaving {
		reply.RetryAfterMs = int(fullGrantRetry.Milliseconds())
		return reply
	}
	limits := d.limits(req, now)
	if !c.admits(limits, true) {
		reply.RetryAfterMs = int(d.admissionDelay(s, c, limits, now).Milliseconds())
		return reply
	}
	d.grant(req, s, c, now)
	reply.Admitted = true
	return reply
}

// grant counts an admission that was given.
func (d *Dispatcher) grant(r *Request, s *backend.Server, c Candidate, now time.Time) {
	l := d.load(s.ID)
	l.grants = append(l.grants, grant{at: now, needTokens: c.NeedTokens})
	l.prefill.add(c.Prefill.Duration(), now)
	l.prefixes.touch(r.target(), r.Prefix)
}

// granted returns the load of the requests that were admitted lately.
func (l *serverLoad) granted(now time.Time) Load {
	recent := l.grants[:0]
	for _, g := range l.grants {
		if now.Sub(g.at) < grantAge {
			recent = append(recent, g)
		}
	}
	l.grants = recent
	sum := Load{Running: len(recent)}
	for _, g := range recent {
		sum.UsedTokens += g.needTokens
	}
	return sum
}

// load returns the candidate's load.
func (c Candidate) load() Load {
	return Load{Running: c.Running, PrefillMs: int(c.PrefillAhead), UsedTokens: c.UsedTokens}
}

// admissionDelay returns when an engine that does not admit a request now may do so.
func (d *Dispatcher) admissionDelay(s *backend.Server, c Candidate, l Limits, now time.Time) time.Duration {
	if !c.hasCapacity(l) {
		return fullGrantRetry
	}
	limit := l.Gap.prefillPerGap(c.Running)
	if c.Owned {
		return d.load(s.ID).prefill.nextStart(c.Prefill.Duration(), limit.Duration(), l.Gap.MaxGap.Duration(), now)
	}
	return max((c.PrefillAhead + min(c.Prefill, limit) - limit).Duration(), minGrantRetry)
}

// confirm takes a permit, if the server has a limit, and asks the engine's owner for admission, if another gateway
// owns it. It reports whether the request may be sent; the reservation is over if not.
func (d *Dispatcher) confirm(ctx context.Context, res *Reservation) bool {
	if !d.takePermit(ctx, res) {
		return false
	}
	if res.owner == "" || d.askOwner(ctx, res) {
		return true
	}
	d.dropPermit(res)
	return false
}

// askOwner asks the engine's owner for admission.
func (d *Dispatcher) askOwner(ctx context.Context, res *Reservation) bool {
	r := res.req
	r.GrantsAsked++
	late := r.isLate(d.opts.Clock.Now())
	reply, err := d.opts.Owners.Admit(ctx, res.owner, AdmissionRequest{
		Server: res.server.ID, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens, Gap: r.Gap, Late: late,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if err != nil || !reply.Owned {
		if ctx.Err() == nil {
			d.suspendOwner(res.owner, now, err)
		}
		res.release()
		return false
	}
	if reply.Admitted {
		r.GrantsGiven++
		res.sent = now
		res.load.prefixes.touch(r.target(), r.Prefix)
		d.remote[res.server.ID] = remoteLoad{Load: reply.Load.minus(res.load.Load), at: now}
		return true
	}
	r.GrantsDenied++
	res.release()
	d.remote[res.server.ID] = remoteLoad{Load: reply.Load.minus(res.load.Load), at: now}
	res.load.deniedUntil = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
	return false
}

// suspendOwner stops asking an owner for a while.
func (d *Dispatcher) suspendOwner(owner string, now time.Time, err error) {
	if d.owners.suspend(owner, now) && d.opts.OnOwnerSilent != nil {
		d.opts.OnOwnerSilent(owner, err)
	}
}
