package dispatch

import (
	"context"
	"time"

	"rockcleat/backend"
)

// A PlaceRequest asks the gateway that owns an engine for a place there: the
// right to send it one request.
type PlaceRequest struct {
	Server string `json:"s"`
	// Model and Adapter, Parts, Prompt and Output are the request's.
	Model   string `json:"m"`
	Adapter string `json:"a,omitempty"`
	Parts   []Part `json:"k,omitempty"`
	Prompt  int    `json:"p"`
	Output  int    `json:"o"`
	// Pace is what pauses running streams of the request's kind bear.
	Pace Pace `json:"l"`
}

// A PlaceAnswer is the answer of the gateway that was asked.
type PlaceAnswer struct {
	// Owned tells that the answerer owns the engine; all else is empty otherwise.
	Owned bool `json:"y"`
	// Granted tells that the request may be sent.
	Granted bool `json:"g,omitempty"`
	// Load is what all gateways have at the engine, as the owner knows it.
	Load Load `json:"l"`
	// After is when to ask again if the place is not granted, in milliseconds.
	After int `json:"a,omitempty"`
}

// Places asks other gateways for places at the engines that they own.
type Places interface {
	// Ask returns the owner's answer, or an error if there is none in time.
	Ask(ctx context.Context, owner string, r PlaceRequest) (PlaceAnswer, error)
}

// Times of asking for places.
const (
	// ownerSilence is how long an owner that did not answer is not asked again.
	ownerSilence = 700 * time.Millisecond
	// grantAge is after how long a grant's load is in the loads that gateways report.
	grantAge = 400 * time.Millisecond
	// leastAfter and fullAfter are the pauses before asking again: at least, and for
	// an engine whose slots or memory are taken.
	leastAfter = 5 * time.Millisecond
	fullAfter  = 50 * time.Millisecond
)

// A grant is a place given to another gateway's request.
type grant struct {
	at   time.Time
	need int
}

// Grant answers another gateway that asks for a place.
func (d *Dispatcher) Grant(r PlaceRequest) PlaceAnswer {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers.Server(r.Server)
	if !ok || !d.owns(s) {
		return PlaceAnswer{}
	}
	req := &Request{
		Service: s.Service, Model: r.Model, Adapter: r.Adapter, Parts: r.Parts, Prompt: r.Prompt, Output: r.Output,
		Pace: r.Pace,
	}
	now := d.opts.Clock.Now()
	c := d.candidate(req, s, d.opts.Memory(s.Service), now)
	answer := PlaceAnswer{Owned: true, Load: c.load()}
	if s.Leaving {
		answer.After = int(fullAfter / time.Millisecond)
		return answer
	}
	limits := d.limits(req)
	if !c.fits(limits, true) {
		answer.After = int(d.freeAfter(s, c, limits, now) / time.Millisecond)
		return answer
	}
	d.grant(req, s, c, now)
	answer.Granted = true
	return answer
}

// grant counts a place that was given away.
func (d *Dispatcher) grant(r *Request, s *backend.Server, c Candidate, now time.Time) {
	l := d.load(s.ID)
	l.grants = append(l.grants, grant{at: now, need: c.Need})
	l.reading.add(milliseconds(c.Read), now)
	l.kept.add(r.name(), r.Parts)
}

// granted returns the load of the places that were given away lately.
func (l *load) granted(now time.Time) Load {
	fresh := l.grants[:0]
	for _, g := range l.grants {
		if now.Sub(g.at) < grantAge {
			fresh = append(fresh, g)
		}
	}
	l.grants = fresh
	sum := Load{Running: len(fresh)}
	for _, g := range fresh {
		sum.Used += g.need
	}
	return sum
}

// load returns the candidate's load.
func (c Candidate) load() Load {
	return Load{Running: c.Running, Reading: int(c.Reading), Used: c.Used}
}

// freeAfter returns when a place that is not free now may be.
func (d *Dispatcher) freeAfter(s *backend.Server, c Candidate, l Limits, now time.Time) time.Duration {
	unread := c
	unread.Reading, unread.Lately = 0, 0
	if !unread.fits(l, true) {
		return fullAfter
	}
	limit := l.Pace.reading(c.Running)
	if c.Own {
		return d.load(s.ID).reading.freeAfter(milliseconds(c.Read), milliseconds(limit), milliseconds(l.Pace.Pause), now)
	}
	return max(milliseconds(c.Reading+min(c.Read, limit)-limit), leastAfter)
}

// confirm asks the engine's owner for the ticket's place, if it has to be asked,
// and reports whether the request may be sent; the ticket is over if not.
func (d *Dispatcher) confirm(ctx context.Context, t *Ticket) bool {
	if t.owner == "" {
		return true
	}
	r := t.req
	r.Asked++
	a, err := d.opts.Places.Ask(ctx, t.owner, PlaceRequest{
		Server: t.server.ID, Model: r.Model, Adapter: r.Adapter, Parts: r.Parts, Prompt: r.Prompt, Output: r.Output,
		Pace: r.Pace,
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if err != nil || !a.Owned {
		if ctx.Err() == nil {
			d.passOver(t.owner, now, err)
		}
		t.release()
		return false
	}
	if a.Granted {
		r.Granted++
		t.sent = now
		t.load.kept.add(r.name(), r.Parts)
		d.remote[t.server.ID] = remoteLoad{Load: a.Load.less(t.load.Load), at: now}
		return true
	}
	r.Denied++
	t.release()
	d.remote[t.server.ID] = remoteLoad{Load: a.Load.less(t.load.Load), at: now}
	t.load.deniedUntil = now.Add(time.Duration(a.After) * time.Millisecond)
	return false
}

// passOver stops asking an owner for a while.
func (d *Dispatcher) passOver(owner string, now time.Time, err error) {
	if now.Before(d.silent[owner]) {
		return
	}
	d.silent[owner] = now.Add(ownerSilence)
	if d.opts.OwnerSilent != nil {
		d.opts.OwnerSilent(owner, err)
	}
}

// less returns the load without a part of it.
func (l Load) less(part Load) Load {
	return Load{
		Running: max(l.Running-part.Running, 0),
		Reading: max(l.Reading-part.Reading, 0),
		Used:    max(l.Used-part.Used, 0),
	}
}

// serveAfterReading looks at waiting requests again when an engine should have read
// enough: nobody tells of that.
func (d *Dispatcher) serveAfterReading(servers []*backend.Server, list []Candidate, limits Limits, now time.Time) {
	for i, c := range list {
		if c.Own && c.Lately > 0 || c.Asked && c.Reading > 0 {
			d.serveAt(now.Add(d.freeAfter(servers[i], c, limits, now)))
		}
	}
}

// serveAt looks for servers for waiting requests at a time, if that is not to be
// done before.
func (d *Dispatcher) serveAt(when time.Time) {
	if !d.wakeAt.IsZero() && !when.Before(d.wakeAt) {
		return
	}
	d.wakeAt = when
	time.AfterFunc(when.Sub(d.opts.Clock.Now()), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.wakeAt.Equal(when) {
			d.wakeAt = time.Time{}
		}
		d.serve()
	})
}
