package admission

import (
	"maps"
	"slices"
	"time"
)

// An Outbox holds a sender's admissions at other gateways' servers, and what their owners have not been told.
type Outbox struct {
	sender   string
	epoch    int64
	channels map[string]*outChannel
}

// NewOutbox returns an empty Outbox. The epoch must be another one after each start of the sender, and not 0.
func NewOutbox(sender string, epoch int64) *Outbox {
	return &Outbox{sender: sender, epoch: epoch, channels: make(map[string]*outChannel)}
}

// An outChannel is the state of the channel to one owner.
type outChannel struct {
	next ID
	open map[ID]*outEntry
	// ended holds the IDs that have ended, except for denied ones, until the owner has acknowledged it.
	ended map[ID]struct{}
	// needsFull is set until the owner has acknowledged a full message with a number above fullAfter.
	needsFull bool
	// outdated is set while the owner may have entries that have ended, or lack some.
	outdated          bool
	number, fullAfter uint64
	// ownerEpoch is the epoch of the acknowledged full message, replaces the epoch of another process of this gateway
	// that the owner takes for the sender's, if any.
	ownerEpoch, replaces int64
}

// An outEntry is an admission that has not ended.
type outEntry struct {
	server string
	tokens int
	until  time.Time
	// asked is set until the owner has admitted the request, unadmitted if it is sent without being admitted
	// and the owner has not acknowledged that yet.
	asked, unadmitted bool
	// tellAdmitted is set if the owner that has acknowledged the last full message may not be the one that admits the
	// request.
	tellAdmitted bool
}

// Ask assigns the ID of an admission that the owner is going to be asked for. until is when the request ends at
// the latest.
func (o *Outbox) Ask(owner, server string, tokens int, until time.Time) ID {
	return o.add(owner, &outEntry{server: server, tokens: tokens, until: until, asked: true})
}

// Begin assigns the ID of a request that is sent without admission.
func (o *Outbox) Begin(owner, server string, tokens int, until time.Time) ID {
	return o.add(owner, &outEntry{server: server, tokens: tokens, until: until, unadmitted: true})
}

func (o *Outbox) add(owner string, e *outEntry) ID {
	c := o.channel(owner)
	id := c.next
	c.next++
	c.open[id] = e
	return id
}

// Admitted records that the owner has admitted a request. It returns false if the sender has given it up. Its
// end is reported again then: a late call may have reached an owner that does not know of the end.
func (o *Outbox) Admitted(owner string, id ID) bool {
	c := o.channel(owner)
	e, ok := c.open[id]
	switch {
	case ok:
		e.unadmitted = e.unadmitted || e.asked && e.tellAdmitted
		e.asked = false
	case id < c.next:
		c.ended[id] = struct{}{}
	}
	return ok
}

// Denied records that the owner has denied an admission. The owner does not need to be told that it has ended.
func (o *Outbox) Denied(owner string, id ID) {
	c := o.channel(owner)
	if e, ok := c.open[id]; ok && e.asked {
		delete(c.open, id)
	}
}

// End records that a request has ended, or that the sender has given up an admission that it asked for.
func (o *Outbox) End(owner string, id ID) {
	c := o.channel(owner)
	if _, ok := c.open[id]; ok {
		delete(c.open, id)
		c.ended[id] = struct{}{}
	}
}

// Message returns what the owner has not acknowledged yet.
func (o *Outbox) Message(owner string, now time.Time) Message {
	c := o.channel(owner)
	c.number++
	m := Message{
		Sender: o.sender, Epoch: o.epoch, Replaces: c.replaces, Floor: c.floor(), Next: c.next, Full: c.needsFull,
		number: c.number,
	}
	for _, id := range slices.Sorted(maps.Keys(c.open)) {
		e := c.open[id]
		switch {
		case e.asked && m.Full:
			m.Asked = append(m.Asked, id)
		case !e.asked && (m.Full || e.unadmitted):
			m.Began = append(m.Began, Entry{ID: id, Server: e.server, Tokens: e.tokens, TTLMs: ttlMs(e.until.Sub(now))})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.ended)) {
		if id >= m.Floor {
			m.Ended = append(m.Ended, id)
		}
	}
	return m
}

// ttlMs rounds a time up to milliseconds, so that an entry does not expire before its request ends.
func ttlMs(d time.Duration) int { return int((d + time.Millisecond - 1) / time.Millisecond) }

// Acknowledged records the owner's reply to a message. Replies may be late: one of another process of the owner says nothing
// about what the present one knows.
func (o *Outbox) Acknowledged(owner string, m Message, a Ack) {
	c := o.channel(owner)
	if a.Current != 0 {
		c.replaces = a.Current
		c.requireFull()
		return
	}
	switch {
	case c.needsFull && m.Full && m.number > c.fullAfter && !a.Resync:
		c.forget(m)
		c.completed(m, a.Epoch)
	case a.Resync || a.Epoch != c.ownerEpoch:
		c.requireFull()
	default:
		c.forget(m)
	}
}

// forget drops what the owner has been told.
func (c *outChannel) forget(m Message) {
	maps.DeleteFunc(c.ended, func(id ID, _ struct{}) bool { return id < m.Floor })
	for _, id := range m.Ended {
		delete(c.ended, id)
	}
	for _, e := range m.Began {
		if open, ok := c.open[e.ID]; ok {
			open.unadmitted = false
		}
	}
}

// completed records that the owner has got a full message. What another state of the owner has admitted since the message
// was made is reported again.
func (c *outChannel) completed(m Message, epoch int64) {
	c.needsFull, c.outdated, c.replaces = false, false, 0
	if epoch == c.ownerEpoch {
		return
	}
	c.ownerEpoch = epoch
	for id, e := range c.open {
		isListed := func(x Entry) bool { return x.ID == id }
		switch {
		case e.asked:
			e.tellAdmitted = true
		case !slices.ContainsFunc(m.Began, isListed):
			e.unadmitted = true
		}
	}
}

// requireFull has the next messages be full ones until the owner has acknowledged one.
func (c *outChannel) requireFull() { c.needsFull, c.outdated, c.fullAfter = true, true, c.number }

// IsPending reports whether the owner has to be told something.
func (o *Outbox) IsPending(owner string) bool {
	c, ok := o.channels[owner]
	if !ok {
		return false
	}
	if len(c.ended) > 0 || c.outdated {
		return true
	}
	for _, e := range c.open {
		if e.unadmitted || c.needsFull && !e.asked {
			return true
		}
	}
	return false
}

// Reset drops everything about an owner that is not running. IDs go on, and a full message is pending, in case it still
// is: the caller sends messages to owners that are listed only.
func (o *Outbox) Reset(owner string) {
	c := o.channel(owner)
	clear(c.open)
	clear(c.ended)
	if c.next > 1 {
		c.requireFull()
	}
}

// Owners returns the owners that the Outbox has a channel to, in order.
func (o *Outbox) Owners() []string { return slices.Sorted(maps.Keys(o.channels)) }

func (o *Outbox) channel(owner string) *outChannel {
	c := o.channels[owner]
	if c == nil {
		c = &outChannel{next: 1, open: make(map[ID]*outEntry), ended: make(map[ID]struct{}), needsFull: true}
		o.channels[owner] = c
	}
	return c
}

// floor returns the lowest ID that has not ended.
func (c *outChannel) floor() ID {
	lowest := c.next
	for id := range c.open {
		lowest = min(lowest, id)
	}
	return lowest
}
