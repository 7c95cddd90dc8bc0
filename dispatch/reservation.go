package dispatch

import (
	"slices"
	"time"

	"rockcleat/backend"
)

// A Reservation is the capacity of one server reserved for one send of a request.
type Reservation struct {
	d      *Dispatcher
	req    *Request
	server *backend.Server
	load   *serverLoad
	// prefillTokens is the length of the uncached part of the prompt, prefillMs its prefill time in
	// milliseconds, usedTokens the maximum cache memory of the request in tokens.
	prefillTokens int
	prefillMs     int
	usedTokens    int
	sentAt        time.Time
	// prefillEnd is when an owned engine is expected to have prefilled the prompt; zero for other
	// engines.
	prefillEnd time.Time
	candidate  Candidate
	// candidateCount is the number of servers that were considered.
	candidateCount int
	// owner is the gateway that has to admit the request; empty if none has to.
	owner string
	// account identifies the request in the account of the server's owner.
	account account
	// permitPending means that a permit is being requested. permit is nil unless one was granted.
	permitPending bool
	permit        Permit
	// onTrial is Request.OnTrial at the time of the reservation.
	onTrial bool
	// isStream means that the request counts as a stream that needs the server's software version.
	isStream bool
	// firstByteSeen means that the first byte has arrived, released that the capacity was released.
	firstByteSeen, released bool
	// pauses holds the pauses of the stream; nil if speeds are not learned.
	pauses *streamPauses
}

// reserve reserves capacity of a server. d.mu must be held.
func (d *Dispatcher) reserve(r *Request, s *backend.Server, c Candidate) *Reservation {
	l := d.loadOf(s.ID)
	res := &Reservation{
		d: d, req: r, server: s, load: l, candidate: c, sentAt: d.opts.Clock.Now(),
		onTrial: r.OnTrial, prefillTokens: c.PrefillTokens, prefillMs: int(c.PrefillTime + 0.5), usedTokens: c.RequiredTokens,
	}
	if c.NeedsAdmission {
		res.owner = d.owners.ownerOf(s)
	}
	if r.Model == "" {
		res.usedTokens = 0
	}
	if _, limited := d.rateLimitOf(s.ID); limited {
		res.permitPending = true
		l.permits.pending++
	}
	if c.Counted {
		d.accounted[res] = struct{}{}
	}
	l.pause.recordSend(res.sentAt)
	d.notePause(l.pause.nextTrial)
	l.Running++
	if res.onTrial {
		l.trials++
	}
	l.PrefillMs += res.prefillMs
	l.UsedTokens += res.usedTokens
	l.awaitingFirstByte = append(l.awaitingFirstByte, res)
	if c.Owned {
		res.prefillEnd = l.prefill.add(c.PrefillTime.Duration(), res.sentAt)
	}
	if r.Model == "" {
		return res
	}
	d.demand.get(r).Running++
	res.beginStream()
	if res.owner == "" {
		l.prefixes.touch(r.targetKey(), r.Prefix)
	}
	return res
}

// Server returns the reserved server.
func (r *Reservation) Server() *backend.Server { return r.server }

// Choice returns the candidate that was chosen and the number of candidates that were considered.
func (r *Reservation) Choice() (c Candidate, candidates int) { return r.candidate, r.candidateCount }

// RecordFirstByte records that the response has begun. It is called for each event of a stream; the times between the
// calls are samples of the server's speed.
func (r *Reservation) RecordFirstByte() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	now := r.d.opts.Clock.Now()
	r.load.lastResponse = now
	r.recordEvent(now)
	if r.firstByteSeen || r.released {
		return
	}
	r.removePendingPrefill()
	if !r.prefillEnd.IsZero() {
		r.load.prefill.correct(r.prefillEnd, now.Add(-firstDecodeTime.Duration()))
	}
	if x, ok := newPrefillSample(r.req.Model, r.prefillTokens, InMilliseconds(now.Sub(r.sentAt))); ok {
		r.d.speeds.addSample(r.separatePrefill(x))
	}
	r.recordWork(now)
	r.d.serveWaiting()
}

// removePendingPrefill removes the prompt from the server's pending prefill. d.mu must be held.
func (r *Reservation) removePendingPrefill() {
	r.firstByteSeen = true
	r.load.PrefillMs -= r.prefillMs
	r.load.awaitingFirstByte = slices.DeleteFunc(r.load.awaitingFirstByte, func(x *Reservation) bool { return x == r })
}

// A SendResult is the outcome of a send.
type SendResult int

const (
	// Succeeded means that the response was complete.
	Succeeded SendResult = iota
	// Failed means that the send failed in a way that counts against the server, such as an
	// error response or a broken connection.
	Failed
	// Refused means that the server refused the request; it does not affect the server's failure
	// rate.
	Refused
	// Misdirected means that the server does not hold the model or is a different server than
	// expected.
	Misdirected
	// Canceled means that the client or the gateway canceled the send after it had begun.
	Canceled
)

// Done releases the capacity and records the outcome. Calls after the first have no effect.
func (r *Reservation) Done(result SendResult) {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.released {
		return
	}
	now := r.d.opts.Clock.Now()
	switch result {
	case Succeeded:
		r.load.failures.observe(0, now)
		r.load.lastResponse = now
		r.recordStream()
	case Failed:
		r.load.failures.observe(1, now)
	case Misdirected:
		r.load.markNotResident(r.req.targetKey(), now)
	}
	r.release()
	r.d.serveWaiting()
}

// Cancel gives up a reservation for which nothing was sent. Unlike Done, it also returns the permit. It has no effect
// after Done or an earlier Cancel.
func (r *Reservation) Cancel() {
	if r.cancel() {
		r.releasePermit()
	}
}

// cancel releases the capacity and reports whether it had not been released before.
func (r *Reservation) cancel() bool {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.released {
		return false
	}
	r.release()
	r.d.serveWaiting()
	return true
}

// release releases the capacity. d.mu must be held.
func (r *Reservation) release() {
	if r.released {
		return
	}
	r.released = true
	r.endPermitRequest()
	if !r.firstByteSeen {
		r.removePendingPrefill()
	}
	r.load.Running--
	if r.onTrial {
		r.load.trials--
	}
	r.load.UsedTokens -= r.usedTokens
	if r.req.Model != "" {
		r.d.demand.get(r.req).Running--
		r.endStream()
	}
	r.endAccount()
}

// endAccount records the end of the request with the server's owner. d.mu must be held.
func (r *Reservation) endAccount() {
	d := r.d
	if _, ok := d.accounted[r]; !ok {
		return
	}
	delete(d.accounted, r)
	if r.account.owner != "" {
		d.outbox.End(r.account.owner, r.account.id)
		d.scheduleNotice(r.account.owner, d.noticeDelay(r.load, r.server, d.opts.Clock.Now().Sub(r.sentAt)))
		return
	}
	if q := d.queues[r.server.ID]; q != nil {
		if r.firstByteSeen {
			q.durations.Observe(d.opts.Clock.Now().Sub(r.sentAt))
		}
		d.serveQueue(r.server.ID)
	}
}
