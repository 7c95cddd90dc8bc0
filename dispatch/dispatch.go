package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/route"
)

// Outcomes of Acquire.
var (
	// ErrNoServer tells that the service has no server left to try.
	ErrNoServer = errors.New("dispatch: no server")
	// ErrWaited tells that the request waited as long as it may.
	ErrWaited = errors.New("dispatch: waited too long")
)

// A Request is what a choice needs to know of a request.
type Request struct {
	Service string
	// Model and Adapter are empty for a plain service.
	Model, Adapter string
	// Prompt and Output are the tokens to read and the most to generate.
	Prompt, Output int
	Parts          []Part
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Until is when the request stops waiting.
	Until time.Time
	// Due is when the answer should have begun; a request for which that is past
	// gives way to those that can still be in time.
	Due time.Time
	// ReadLimit is the longest reading that running streams of its kind bear, in
	// milliseconds; 0 is no limit.
	ReadLimit float64
	// Avoid names servers that are not to be chosen.
	Avoid []string
}

func (r *Request) name() string {
	if r.Adapter == "" {
		return r.Model
	}
	return r.Model + "/" + r.Adapter
}

// A Load is what one process has at one server.
type Load struct {
	// Running is the number of requests.
	Running int `json:"n"`
	// Reading is the time to read the prompts whose first event has not come, in milliseconds.
	Reading int `json:"r,omitempty"`
	// Used is the memory that the requests take at most, in tokens.
	Used int `json:"u,omitempty"`
}

// Options configure a Dispatcher.
type Options struct {
	// ID and Hall are this gateway's.
	ID    string
	Hall  string
	Clock clock.Service
	// Fill is the part of an engine's slots and memory that is used.
	Fill float64
	// Memory returns the memory of a service's engines in tokens, 0 for a plain service.
	Memory func(service string) int
	// Missing, if not nil, is called when a request waits for a model or adapter
	// that no server holds. It is called with the Dispatcher locked and must not block.
	Missing func()
}

// A Dispatcher gives requests their servers; it is safe for concurrent use.
type Dispatcher struct {
	opts Options

	mu       sync.Mutex
	servers  *backend.Snapshot
	loads    map[string]*load
	remote   map[string]Load
	waiting  []*waiter
	demand   map[string]*Demand
	speeds   speeds
	gateways []Gateway
	owners   map[string]string
}

// A Demand is what was asked of one model or adapter.
type Demand struct {
	// Arrived counts requests since the start, Tokens their prompt tokens and
	// ten times the tokens they may generate.
	Arrived int `json:"a"`
	Tokens  int `json:"t"`
	// Waiting is the number of requests that wait for it now.
	Waiting int `json:"w,omitempty"`
	// Running is the number of requests that run with it now.
	Running int `json:"n,omitempty"`
	// Service is the service asked.
	Service string `json:"s"`
}

// load is what this process has at one server and has seen of it.
type load struct {
	Load
	kept     keptParts
	failure  failureShare
	heard    time.Time
	sent     []*Ticket
	adapters map[string]int
}

type waiter struct {
	req    *Request
	ticket *Ticket
	ready  chan struct{}
}

// New returns a Dispatcher that knows no server.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		opts: o, servers: &backend.Snapshot{}, loads: make(map[string]*load),
		remote: make(map[string]Load), demand: make(map[string]*Demand),
	}
}

// SetServers takes a new view of the servers and lets waiting requests go to them.
func (d *Dispatcher) SetServers(s *backend.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = s
	for id, l := range d.loads {
		if _, ok := s.Server(id); !ok && l.Running == 0 {
			delete(d.loads, id)
			delete(d.owners, id)
		}
	}
	d.serve()
}

// SetRemote takes what other processes have at the servers.
func (d *Dispatcher) SetRemote(remote map[string]Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remote = remote
	d.serve()
}

// A Gateway is one of the processes that send requests.
type Gateway struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
}

// SetGateways tells which gateways there are, so that each engine is fed first
// by one of them, in its own data hall where there is one: what the others have
// sent is known late, and engines are spoilt by prompts that come together.
func (d *Dispatcher) SetGateways(list []Gateway) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(list, d.gateways) {
		return
	}
	d.gateways = list
	d.owners = make(map[string]string)
}

// owns reports whether this gateway is the one that feeds the server first.
func (d *Dispatcher) owns(s *backend.Server) bool {
	if len(d.gateways) == 0 {
		return true
	}
	owner, ok := d.owners[s.ID]
	if !ok {
		owner = ownerOf(s, d.gateways)
		d.owners[s.ID] = owner
	}
	return owner == d.opts.ID
}

// ownerOf returns the gateway with the highest weight for the server, those of
// its data hall before others.
func ownerOf(s *backend.Server, list []Gateway) string {
	key := route.Hash(s.ID)
	best, bestNear, bestWeight := "", false, uint64(0)
	for _, g := range list {
		near := g.Hall == s.Hall
		weight := route.Rendezvous(g.ID, key)
		if best == "" || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = g.ID, near, weight
		}
	}
	return best
}

// Loads returns what this process has at each server.
func (d *Dispatcher) Loads() map[string]Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Load, len(d.loads))
	for id, l := range d.loads {
		if l.Running > 0 {
			out[id] = l.Load
		}
	}
	return out
}

// Demands returns what was asked of each model and adapter.
func (d *Dispatcher) Demands() map[string]Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]Demand, len(d.demand))
	for name, x := range d.demand {
		out[name] = *x
	}
	return out
}

// Count counts the arrival of a request for a model.
func (d *Dispatcher) Count(r *Request) {
	if r.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.demandOf(r)
	x.Arrived++
	x.Tokens += r.Prompt + outputWeight*r.Output
}

// outputWeight is how many prompt tokens one generated token counts as.
const outputWeight = 10

func (d *Dispatcher) demandOf(r *Request) *Demand {
	x := d.demand[r.name()]
	if x == nil {
		x = &Demand{Service: r.Service}
		d.demand[r.name()] = x
	}
	return x
}

// Acquire returns a ticket for a server, waiting for one until the request's limit.
func (d *Dispatcher) Acquire(ctx context.Context, r *Request) (*Ticket, error) {
	d.mu.Lock()
	if t := d.choose(r); t != nil {
		d.mu.Unlock()
		return t, nil
	}
	if r.Model == "" || !d.opts.Clock.Now().Before(r.Until) {
		d.mu.Unlock()
		return nil, ErrNoServer
	}
	w := &waiter{req: r, ready: make(chan struct{})}
	d.enqueue(w)
	d.mu.Unlock()
	return d.wait(ctx, w)
}

func (d *Dispatcher) enqueue(w *waiter) {
	i := len(d.waiting)
	for i > 0 && d.waiting[i-1].req.Priority > w.req.Priority {
		i--
	}
	d.waiting = slices.Insert(d.waiting, i, w)
	d.demandOf(w.req).Waiting++
	if d.opts.Missing != nil && !d.held(w.req) {
		d.opts.Missing()
	}
}

// held reports whether any server has the model and adapter ready.
func (d *Dispatcher) held(r *Request) bool { return d.holders(r) > 0 }

// holders returns how many servers that stay have the model and adapter ready.
func (d *Dispatcher) holders(r *Request) int {
	n := 0
	for _, s := range d.servers.Service(r.Service) {
		if !s.Leaving && (r.Model == "" || s.Holds(r.Model, r.Adapter)) {
			n++
		}
	}
	return n
}

// Holders returns how many servers that stay could serve the request now, were
// they not full: 0 tells that it was refused for want of a server or a model.
func (d *Dispatcher) Holders(r *Request) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holders(r)
}

func (d *Dispatcher) wait(ctx context.Context, w *waiter) (*Ticket, error) {
	timer := time.NewTimer(w.req.Until.Sub(d.opts.Clock.Now()))
	defer timer.Stop()
	err := ErrWaited
	select {
	case <-w.ready:
		return w.ticket, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.ticket != nil {
		if ctx.Err() == nil {
			return w.ticket, nil
		}
		w.ticket.release()
		d.serve()
		return nil, err
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(x *waiter) bool { return x == w })
	d.demandOf(w.req).Waiting--
	return nil, err
}

// serve gives servers to waiting requests: first to those that can still be in
// time, the most urgent first, then to the others.
func (d *Dispatcher) serve() {
	if len(d.waiting) == 0 {
		return
	}
	now := d.opts.Clock.Now()
	full := make(map[string]bool)
	for _, w := range d.waiting {
		if now.Before(w.req.Due) {
			d.offer(w, full)
		}
	}
	for _, w := range d.waiting {
		if w.ticket == nil {
			d.offer(w, full)
		}
	}
	d.waiting = slices.DeleteFunc(d.waiting, func(w *waiter) bool { return w.ticket != nil })
}

// offer gives a waiting request a server if one can take it; full remembers the
// models for which there was none.
func (d *Dispatcher) offer(w *waiter, full map[string]bool) {
	name := w.req.name()
	if full[name] {
		return
	}
	t := d.choose(w.req)
	if t == nil {
		full[name] = len(w.req.Avoid) == 0
		return
	}
	d.demandOf(w.req).Waiting--
	w.ticket = t
	close(w.ready)
}

// choose takes a place at the best server, or returns nil.
func (d *Dispatcher) choose(r *Request) *Ticket {
	var servers []*backend.Server
	var list []Candidate
	memory := d.opts.Memory(r.Service)
	now := d.opts.Clock.Now()
	for _, s := range d.servers.Service(r.Service) {
		if s.Leaving || slices.Contains(r.Avoid, s.ID) || r.Model != "" && !s.Holds(r.Model, r.Adapter) {
			continue
		}
		servers = append(servers, s)
		list = append(list, d.candidate(r, s, memory, now))
	}
	i := Choose(list, Limits{Reading: r.ReadLimit, Fill: d.opts.Fill})
	if i < 0 {
		return nil
	}
	t := d.take(r, servers[i], list[i])
	t.among = len(list)
	return t
}

// silentAfter is how long a server may owe a first answer and say nothing at all.
const silentAfter = 1500 * time.Millisecond

func (d *Dispatcher) candidate(r *Request, s *backend.Server, memory int, now time.Time) Candidate {
	l := d.load(s.ID)
	other := d.remote[s.ID]
	c := Candidate{
		Running: l.Running + other.Running, Reading: float64(l.Reading + other.Reading), Used: l.Used + other.Used,
		Memory: memory, Slots: s.Slots, Near: s.Hall == d.opts.Hall, Own: d.owns(s), Failure: l.failure.at(now),
		Need: r.Prompt + r.Output,
	}
	if r.Model != "" {
		c.Tokens = max(r.Prompt-l.kept.kept(r.name(), r.Parts), 0)
		c.Read = d.speeds.reading(r.Model, c.Tokens)
	}
	if len(l.sent) > 0 {
		since := l.sent[0].sent
		if l.heard.After(since) {
			since = l.heard
		}
		c.Silent = now.Sub(since) > silentAfter
	}
	return c
}

func (d *Dispatcher) load(id string) *load {
	l := d.loads[id]
	if l == nil {
		l = &load{adapters: make(map[string]int)}
		d.loads[id] = l
	}
	return l
}

func (d *Dispatcher) take(r *Request, s *backend.Server, c Candidate) *Ticket {
	l := d.load(s.ID)
	t := &Ticket{d: d, req: r, server: s, load: l, tokens: c.Tokens, choice: c, reading: int(c.Read + 0.5), used: c.Need, sent: d.opts.Clock.Now()}
	if r.Model == "" {
		t.used = 0
	}
	l.Running++
	l.Reading += t.reading
	l.Used += t.used
	l.sent = append(l.sent, t)
	if r.Model != "" {
		l.kept.add(r.name(), r.Parts)
		d.demandOf(r).Running++
	}
	return t
}
