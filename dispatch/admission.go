package dispatch

import (
	"context"
	"time"

	"rockcleat/admission"
	"rockcleat/backend"
)

// An AdmissionRequest asks the owner of an engine to admit one request to it.
type AdmissionRequest struct {
	Server string `json:"s"`
	// The fields below correspond to those of Request.
	Model           string        `json:"m"`
	Adapter         string        `json:"a,omitempty"`
	Prefix          []PrefixBlock `json:"k,omitempty"`
	PromptTokens    int           `json:"p"`
	MaxOutputTokens int           `json:"o"`
	Gap             GapBudget     `json:"l"`
	// Late means that the request can no longer meet its objective.
	Late bool `json:"t,omitempty"`

	// Account is set by senders whose requests the owner counts until they end. ID is the ID of this request for
	// admission. The fields below are set with it.
	Account *admission.Message `json:"c,omitempty"`
	ID      admission.ID       `json:"i,omitempty"`
	// TTLMs is the time until the request ends at the latest, QueueMs that for which the owner may queue it, WaitMs that
	// until it must be sent, and LeftMs that until its deadline, all in milliseconds.
	TTLMs   int `json:"e,omitempty"`
	QueueMs int `json:"q,omitempty"`
	WaitMs  int `json:"w,omitempty"`
	LeftMs  int `json:"d,omitempty"`
	// AgeMs is the time since the request arrived, and SendByMs that until it must be sent to be in time, negative if that
	// has passed; nil if it is always in time. Both are in milliseconds.
	AgeMs    int  `json:"b,omitempty"`
	SendByMs *int `json:"f,omitempty"`
	// The fields below correspond to those of Request.
	MayHaveRun   bool    `json:"n,omitempty"`
	Priority     int     `json:"y,omitempty"`
	Organisation string  `json:"g,omitempty"`
	Weight       float64 `json:"h,omitempty"`
	ContentKey   uint64  `json:"x,omitempty"`
}

// An AdmissionReply is the owner's reply to an AdmissionRequest.
type AdmissionReply struct {
	// Owned means that the replying gateway owns the engine. If it is false, the other fields are
	// empty.
	Owned bool `json:"y"`
	// Admitted means that the request may be sent.
	Admitted bool `json:"g,omitempty"`
	// Load is the load of all gateways at the engine, as known to the owner.
	Load Load `json:"l"`
	// RetryAfterMs is how long to wait before asking again if the request was not admitted, in
	// milliseconds.
	RetryAfterMs int `json:"a,omitempty"`
	// Ack is the reply to the request's Account; nil if the owner does not count requests.
	Ack *admission.Ack `json:"c,omitempty"`
	// Queued means that the owner will say when it admits the request. WaitMs is the estimated wait in milliseconds of a
	// request that was not admitted.
	Queued bool `json:"q,omitempty"`
	WaitMs int  `json:"w,omitempty"`
}

// Owners requests admission from the gateways that own engines.
type Owners interface {
	// Admit returns the reply of the owner, or an error if it does not reply in time.
	Admit(ctx context.Context, owner string, r AdmissionRequest) (AdmissionReply, error)
}

const (
	// ownerSuspension is how long an owner that did not respond is not asked. A gateway that has
	// stopped is removed from the list of gateways within two seconds.
	ownerSuspension = 700 * time.Millisecond
	// firstOwnerSuspension is the same for the first time that the owner of a counted server does not respond; it doubles
	// with each further time. Without the owner its servers get few requests, and a message may be lost.
	firstOwnerSuspension = 100 * time.Millisecond
	// admissionTTL is how long an admission counts towards the load of an engine. After that the
	// admitted request is included in the loads that the other gateways report, every 80 ms in fleets
	// of up to 24.
	admissionTTL = 400 * time.Millisecond
	// minAdmissionRetry is the minimum delay before admission is requested again.
	minAdmissionRetry = 5 * time.Millisecond
	// fullEngineRetry is the delay for an engine without a free slot or memory. Capacity is freed
	// there when a request ends.
	fullEngineRetry = 50 * time.Millisecond
)

// A timedAdmission records that another gateway's request was admitted to an engine, for admissionTTL.
type timedAdmission struct {
	admittedAt     time.Time
	requiredTokens int
}

// Admit decides, as the owner of an engine, whether another gateway may send a request to it.
func (d *Dispatcher) Admit(r AdmissionRequest) AdmissionReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.servers.Server(r.Server)
	if !ok || !d.owners.owns(s) {
		return AdmissionReply{}
	}
	if r.Account != nil && d.isCounted(s.Service) {
		return d.admitCounted(r, s)
	}
	now := d.opts.Clock.Now()
	req := r.request(s, now)
	c := d.candidate(req, s, d.opts.CacheTokens(s.Service), now)
	reply := AdmissionReply{Owned: true, Load: c.load()}
	if !s.AcceptsRequests() {
		reply.RetryAfterMs = int(fullEngineRetry.Milliseconds())
		return reply
	}
	limits := d.limitsFor(req, now)
	if !c.canTake(limits, true) {
		reply.RetryAfterMs = int(d.admissionDelay(s, c, limits, now).Milliseconds())
		return reply
	}
	d.recordAdmission(req, s, c, now)
	reply.Admitted = true
	return reply
}

// request returns the request that admission to a server is requested for.
func (r *AdmissionRequest) request(s *backend.Server, now time.Time) *Request {
	req := &Request{
		Service: s.Service, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens, Gap: r.Gap, admittedLate: r.Late,
		Organisation: r.Organisation, Weight: r.Weight, Priority: r.Priority, ContentKey: r.ContentKey, MayHaveRun: r.MayHaveRun,
		Arrived: now.Add(-milliseconds(r.AgeMs)), WaitUntil: now.Add(milliseconds(r.WaitMs)), Deadline: now.Add(milliseconds(r.LeftMs)),
	}
	if r.SendByMs != nil {
		req.SendBy = now.Add(milliseconds(*r.SendByMs))
	}
	return req
}

// admissionRequest returns the request for admission to a server.
func (r *Request) admissionRequest(server string, now time.Time) AdmissionRequest {
	return AdmissionRequest{
		Server: server, Model: r.Model, Adapter: r.Adapter, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxOutputTokens: r.MaxOutputTokens, Gap: r.Gap, Late: r.isLate(now),
	}
}

// countedAdmissionRequest returns the request for admission to a server that its owner counts, without the account.
func (r *Request) countedAdmissionRequest(server string, now time.Time) AdmissionRequest {
	a := r.admissionRequest(server, now)
	a.Organisation, a.Weight, a.Priority, a.ContentKey, a.MayHaveRun = r.Organisation, r.Weight, r.Priority, r.ContentKey, r.MayHaveRun
	a.TTLMs, a.WaitMs = int(r.endsBy(now).Sub(now).Milliseconds()), int(r.WaitUntil.Sub(now).Milliseconds())
	if !r.Deadline.IsZero() {
		a.LeftMs = int(r.Deadline.Sub(now).Milliseconds())
	}
	if !r.Arrived.IsZero() {
		a.AgeMs = int(now.Sub(r.Arrived).Milliseconds())
	}
	if !r.SendBy.IsZero() {
		sendBy := int(r.SendBy.Sub(now).Milliseconds())
		a.SendByMs = &sendBy
	}
	return a
}

// recordAdmission records an admission. d.mu must be held.
func (d *Dispatcher) recordAdmission(r *Request, s *backend.Server, c Candidate, now time.Time) {
	l := d.loadOf(s.ID)
	l.admissions = append(l.admissions, timedAdmission{admittedAt: now, requiredTokens: c.RequiredTokens})
	l.recordPrefill(r, c, now)
}

// recordPrefill records the prefill of another gateway's request at an owned engine.
func (l *serverLoad) recordPrefill(r *Request, c Candidate, now time.Time) {
	l.prefill.add(c.PrefillTime.Duration(), now)
	l.prefixes.touch(r.targetKey(), r.Prefix)
}

// admittedLoad returns the load of the requests admitted within admissionTTL and drops older
// admissions.
func (l *serverLoad) admittedLoad(now time.Time) Load {
	recent := l.admissions[:0]
	for _, g := range l.admissions {
		if now.Sub(g.admittedAt) < admissionTTL {
			recent = append(recent, g)
		}
	}
	l.admissions = recent
	sum := Load{Running: len(recent)}
	for _, g := range recent {
		sum.UsedTokens += g.requiredTokens
	}
	return sum
}

func (c Candidate) load() Load {
	return Load{Running: c.Running, PrefillMs: int(c.PrefillAhead), UsedTokens: c.UsedTokens}
}

// admissionDelay returns how long to wait until an engine that cannot admit a request now may be
// able to.
func (d *Dispatcher) admissionDelay(s *backend.Server, c Candidate, l Limits, now time.Time) time.Duration {
	if !c.hasCapacity(l) {
		return fullEngineRetry
	}
	limit := c.prefillPerGap(l.Gap)
	if c.Owned {
		return d.loadOf(s.ID).prefill.nextStart(c.PrefillTime.Duration(), limit.Duration(), l.Gap.MaxGap.Duration(), now)
	}
	return max((c.PrefillAhead + min(c.PrefillTime, limit) - limit).Duration(), minAdmissionRetry)
}

// obtainApprovals obtains a permit if the server has a rate limit, and the owner's admission if
// another gateway owns the engine. It reports whether the request may be sent; if not, the
// reservation has been released.
func (d *Dispatcher) obtainApprovals(ctx context.Context, res *Reservation) bool {
	if !d.obtainPermit(ctx, res) {
		return false
	}
	if res.owner == "" || d.requestAdmission(ctx, res) {
		return true
	}
	res.releasePermit()
	return false
}

// requestAdmission requests admission from the owner of the reserved engine. It reports whether the
// request was admitted; if not, the reservation has been released.
func (d *Dispatcher) requestAdmission(ctx context.Context, res *Reservation) bool {
	r := res.req
	r.AdmissionsRequested++
	reply, err := d.opts.Owners.Admit(ctx, res.owner, r.admissionRequest(res.server.ID, d.opts.Clock.Now()))
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.opts.Clock.Now()
	if err != nil || !reply.Owned {
		if ctx.Err() == nil {
			d.suspendOwner(res.owner, now, ownerSuspension, err)
		}
		res.release()
		return false
	}
	if reply.Admitted {
		r.AdmissionsGranted++
		res.sentAt = now
		res.load.prefixes.touch(r.targetKey(), r.Prefix)
		d.remote[res.server.ID] = remoteLoad{Load: reply.Load.minus(res.load.Load), reportedAt: now}
		return true
	}
	r.AdmissionsDenied++
	res.release()
	d.remote[res.server.ID] = remoteLoad{Load: reply.Load.minus(res.load.Load), reportedAt: now}
	res.load.admissionDeniedUntil = now.Add(time.Duration(reply.RetryAfterMs) * time.Millisecond)
	return false
}

// suspendOwner suspends an owner that did not respond and reports it once per suspension. d.mu must
// be held.
func (d *Dispatcher) suspendOwner(owner string, now time.Time, period time.Duration, err error) {
	if d.owners.suspend(owner, now.Add(period), now) && d.opts.OnOwnerUnresponsive != nil {
		d.opts.OnOwnerUnresponsive(owner, err)
	}
}
