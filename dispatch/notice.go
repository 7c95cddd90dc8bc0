package dispatch

import (
	"context"
	"time"

	"rockcleat/admission"
)

// Accounts exchanges messages about admissions with other gateways.
type Accounts interface {
	// Notify tells an owner what has begun and ended at its servers, and returns its reply.
	Notify(ctx context.Context, owner string, m admission.Message) (admission.Ack, error)
	// Grant tells a sender which of its queued requests were admitted.
	Grant(ctx context.Context, sender string, m GrantMessage) error
}

// A GrantMessage tells a sender which of its queued requests an owner has admitted.
type GrantMessage struct {
	Owner string `json:"g"`
	// Epoch is the sender's epoch in the requests for admission.
	Epoch int64          `json:"e"`
	IDs   []admission.ID `json:"i"`
}

const (
	// busyNoticeDelay is the longest delay of the notice that a request has ended at a server of which at least half is in
	// use, and idleNoticeDelay that for any other server. A slot of a busy server may be waited for.
	busyNoticeDelay = 10 * time.Millisecond
	idleNoticeDelay = 100 * time.Millisecond
	// noticeDelayShare is the longest delay as a part of the request's time at the server, in which its slot counts as taken
	// for longer.
	noticeDelayShare = 0.1
	// noticeRetryDelay is the delay before a notice that was not acknowledged is repeated.
	noticeRetryDelay = 250 * time.Millisecond
)

// noticeState is the state of the notices to one owner.
type noticeState struct {
	// due is when the next notice is scheduled; zero if none is.
	due time.Time
	// sending is set while a notice is on its way.
	sending bool
}

// scheduleNotice schedules a notice to an owner, unless one is scheduled earlier. d.mu must be held.
func (d *Dispatcher) scheduleNotice(owner string, delay time.Duration) {
	n := d.notices[owner]
	if n == nil {
		n = &noticeState{}
		d.notices[owner] = n
	}
	due := d.opts.Clock.Now().Add(delay)
	if !n.due.IsZero() && !due.Before(n.due) {
		return
	}
	n.due = due
	d.opts.Clock.AfterFunc(delay, func() { d.notify(owner, due) })
}

// notify sends the notice that is due.
func (d *Dispatcher) notify(owner string, due time.Time) {
	d.mu.Lock()
	n := d.notices[owner]
	if !n.due.Equal(due) {
		d.mu.Unlock()
		return
	}
	n.due = time.Time{}
	if n.sending {
		// It is sent after the reply to the present one.
		d.mu.Unlock()
		return
	}
	if !d.outbox.IsPending(owner) || !d.owners.isListed(owner) {
		d.mu.Unlock()
		return
	}
	n.sending = true
	m := d.outbox.Message(owner, d.opts.Clock.Now())
	d.mu.Unlock()
	ack, err := d.opts.Accounts.Notify(context.Background(), owner, m)
	d.mu.Lock()
	defer d.mu.Unlock()
	n.sending = false
	delay := busyNoticeDelay
	if err != nil {
		delay = noticeRetryDelay
	} else {
		d.outbox.Acknowledged(owner, m, ack)
	}
	if d.outbox.IsPending(owner) {
		d.scheduleNotice(owner, delay)
	}
}

// Notified applies a notice of another gateway.
func (d *Dispatcher) Notified(m admission.Message) admission.Ack {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.applyMessage(m)
}

// applyMessage applies a message to the account and serves the requests that wait for what has become free.
// d.mu must be held.
func (d *Dispatcher) applyMessage(m admission.Message) admission.Ack {
	d.endsReported = true
	ack := d.ledger.Apply(m, d.opts.Clock.Now())
	d.endsReported = false
	for _, id := range m.Ended {
		d.removeQueuedAsk(askKey{gateway: m.Sender, id: id}, m.Epoch)
	}
	d.serveFreed()
	return ack
}

// serveFreed serves the queues of the servers at which requests have ended. d.mu must be held.
func (d *Dispatcher) serveFreed() {
	freed := d.freed
	d.freed = nil
	for _, id := range freed {
		d.serveQueue(id)
	}
}

// requestEnded is called when a request of another gateway has ended at a server. d.mu must be held.
func (d *Dispatcher) requestEnded(server string, admitted time.Time) {
	q := d.queues[server]
	if q == nil {
		return
	}
	if d.endsReported {
		q.durations.Observe(d.opts.Clock.Now().Sub(admitted))
	}
	d.freed = append(d.freed, server)
}

// queueGrant tells a sender that a queued request was admitted. Grants that come while a message is on its way are sent
// together. d.mu must be held.
func (d *Dispatcher) queueGrant(sender string, epoch int64, id admission.ID) {
	key := grantKey{sender: sender, epoch: epoch}
	pending, sending := d.grants[key]
	d.grants[key] = append(pending, id)
	if !sending {
		go d.sendGrants(key)
	}
}

// A grantKey identifies the receiver of grants: one run of a gateway.
type grantKey struct {
	sender string
	epoch  int64
}

// sendGrants sends grants until there are no more. A grant that is lost ends when its sender asks again.
func (d *Dispatcher) sendGrants(key grantKey) {
	for {
		d.mu.Lock()
		ids := d.grants[key]
		if len(ids) == 0 {
			delete(d.grants, key)
			d.mu.Unlock()
			return
		}
		d.grants[key] = []admission.ID{}
		d.mu.Unlock()
		// The error is logged by the caller of Grant.
		_ = d.opts.Accounts.Grant(context.Background(), key.sender, GrantMessage{Owner: d.opts.ID, Epoch: key.epoch, IDs: ids})
	}
}

// Granted reserves servers for the queued requests that an owner has admitted. Requests that no longer wait are ignored:
// a notice of their end is on its way.
func (d *Dispatcher) Granted(m GrantMessage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Epoch != d.opts.Epoch {
		return
	}
	for _, id := range m.IDs {
		if x := d.asked[askKey{gateway: m.Owner, id: id}]; x != nil {
			d.admitted(x)
		}
	}
}
