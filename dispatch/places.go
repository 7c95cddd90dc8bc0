package dispatch

import (
	"context"
	"time"

	"rockcleat/backend"
)

// A PlaceRequest asks the gateway that owns an engine for a place there: the
// right to send it one request.
type AdmissionRequest struct {
	Server string `json:"s"`
	// Model and Adapter, Parts, Prompt and Output are the request's.
	Model           string        `json:"m"`
	Adapter         string        `json:"a,omitempty"`
	Prefix          []PrefixBlock `json:"k,omitempty"`
	PromptTokens    int           `json:"p"`
	MaxOutputTokens int           `json:"o"`
	// Pace is what pauses running streams of the request's kind bear.
	Gap GapBudget `json:"l"`
}

// A PlaceAnswer is the answer of the gateway that was asked.
type AdmissionReply struct {
	// Owned tells that the answerer owns the engine; all else is empty otherwise.
	Owned bool `json:"y"`
	// Granted tells that the request may be sent.
	Admitted bool `json:"g,omitempty"`
	// Load is what all gateways have at the engine, as the owner knows it.
	Load Load `json:"l"`
	// After is when to ask again if the place is not granted, in milliseconds.
	RetryAfterMs int `json:"a,omitempty"`
}

// Places asks other gateways for places at the engines that they own.
type Owners interface {
	// Ask returns the owner's answer, or an error if there is none in time.
	Admit(ctx context.Context, owner string, r AdmissionRequest) (AdmissionReply, error)
}

// Times of asking for places.
const (
	// ownerSilence is how long an owner that did not answer is not asked again.
	ownerSuspension = 700 * time.Millisecond
	// grantAge is after how long a grant's load is in the loads that gateways report.
	grantAge = 400 * time.Millisecond
	// leastAfter and fullAfter are the pauses before asking again: at least, and for
	// an engine whose slots or memory are taken.
	minGrantRetry  = 5 * time.Millisecond
	fullGrantRetry = 50 * time.Millisecond
)

// A grant is a place given to another gateway's request.
type grant struct {
	at   time.Time
	need int
}

// Grant answers another gateway that asks for a place.
func (d *Dispatcher) Admit(r AdmissionRequest) AdmissionReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers.Server(r.Server)
	if !ok || !d.owns(s) {
		return AdmissionReply{}
	}
	req := &Request{
		Service: s.Service, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		Gap: r.Gap,
	}
	now := d.opts.Clock.Now()
	c := d.candidate(req, s, d.opts.CacheTokens(s.Service), now)
	answer := AdmissionReply{Owned: true, Load: c.load()}
	if s.Leaving {
		answer.RetryAfterMs = int(fullGrantRetry / time.Millisecond)
		return answer
	}
	limits := d.limits(req)
	if !c.fits(limits, true) {
		answer.RetryAfterMs = int(d.freeAfter(s, c, limits, now) / time.Millisecond)
		return answer
	}
	d.grant(req, s, c, now)
	answer.Admitted = true
	return answer
}

// grant counts a place that was given away.
func (d *Dispatcher) grant(r *Request, s *backend.Server, c Candidate, now time.Time) {
	l := d.load(s.ID)
	l.grants = append(l.grants, grant{at: now, need: c.NeedTokens})
	l.prefill.add(milliseconds(c.Prefill), now)
	l.prefixes.touch(r.name(), r.Prefix)
}

// granted returns the load of the places that were given away lately.
func (l *serverLoad) granted(now time.Time) Load {
	fresh := l.grants[:0]
	for _, g := range l.grants {
		if now.Sub(g.at) < grantAge {
			fresh = append(fresh, g)
		}
	}
	l.grants = fresh
	sum := Load{Running: len(fresh)}
	for _, g := range fresh {
		sum.UsedTokens += g.need
	}
	return sum
}

// load returns the candidate's load.
func (c Candidate) load() Load {
	return Load{Running: c.Running, PrefillMs: int(c.PrefillAhead), UsedTokens: c.UsedTokens}
}

// freeAfter returns when a place that is not free now may be.
func (d *Dispatcher) freeAfter(s *backend.Server, c Candidate, l Limits, now time.Time) time.Duration {
	unread := c
	unread.PrefillAhead, unread.PrefillInGap = 0, 0
	if !unread.fits(l, true) {
		return fullGrantRetry
	}
	limit := l.Gap.prefillPerGap(c.Running)
	if c.Owned {
		return d.load(s.ID).prefill.nextStart(milliseconds(c.Prefill), milliseconds(limit), milliseconds(l.Gap.MaxGap), now)
	}
	return max(milliseconds(c.PrefillAhead+min(c.Prefill, limit)-limit), minGrantRetry)
}

// confirm asks the engine's owner for the ticket's place, if it has to be asked,
// and reports whether the request may be sent; the ticket is over if not.
func (d *Dispatcher) confirm(ctx context.Context, t *Reservation) bool {
	if t.owner == "" {
		return true
	}
	r := t.req
	r.GrantsAsked++
	a, err := d.opts.Owners.Admit(ctx, t.owner, AdmissionRequest{
		Server: t.server.ID, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		Gap: r.Gap,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if err != nil || !a.Owned {
		if ctx.Err() == nil {
			d.suspendOwner(t.owner, now, err)
		}
		t.release()
		return false
	}
	if a.Admitted {
		r.GrantsGiven++
		t.sent = now
		t.load.prefixes.touch(r.name(), r.Prefix)
		d.remote[t.server.ID] = remoteLoad{Load: a.Load.less(t.load.Load), at: now}
		return true
	}
	r.GrantsDenied++
	t.release()
	d.remote[t.server.ID] = remoteLoad{Load: a.Load.less(t.load.Load), at: now}
	t.load.deniedUntil = now.Add(time.Duration(a.RetryAfterMs) * time.Millisecond)
	return false
}

// passOver stops asking an owner for a while.
func (d *Dispatcher) suspendOwner(owner string, now time.Time, err error) {
	if now.Before(d.suspended[owner]) {
		return
	}
	d.suspended[owner] = now.Add(ownerSuspension)
	if d.opts.OnOwnerSilent != nil {
		d.opts.OnOwnerSilent(owner, err)
	}
}

// less returns the load without a part of it.
func (l Load) less(part Load) Load {
	return Load{
		Running:    max(l.Running-part.Running, 0),
		PrefillMs:  max(l.PrefillMs-part.PrefillMs, 0),
		UsedTokens: max(l.UsedTokens-part.UsedTokens, 0),
	}
}

// serveAfterReading looks at waiting requests again when an engine should have read
// enough: nobody tells of that.
func (d *Dispatcher) serveAfterPrefill(servers []*backend.Server, list []Candidate, limits Limits, now time.Time) {
	for i, c := range list {
		if c.Owned && c.PrefillInGap > 0 || c.NeedsGrant && c.PrefillAhead > 0 {
			d.serveAt(now.Add(d.freeAfter(servers[i], c, limits, now)))
		}
	}
}

// serveAt looks for servers for waiting requests at a time, if that is not to be
// done before.
func (d *Dispatcher) serveAt(when time.Time) {
	if !d.nextServe.IsZero() && !when.Before(d.nextServe) {
		return
	}
	d.nextServe = when
	time.AfterFunc(when.Sub(d.opts.Clock.Now()), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.nextServe.Equal(when) {
			d.nextServe = time.Time{}
		}
		d.serve()
	})
}
