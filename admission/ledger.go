package admission

import (
	"maps"
	"slices"
	"time"
)

// maxFullRange bounds the IDs from the floor on in a full message. A sender has far fewer requests during its longest one;
// a malformed message must not keep its owner busy.
const maxFullRange = 1 << 16

// A Ledger is an owner's account of the requests of other gateways at its servers.
type Ledger struct {
	epoch int64
	// opened is the number of channels that were ever opened.
	opened   int64
	channels map[string]*channel
	loads    map[string]Load
	onEnd    func(server string, admitted time.Time)
}

// NewLedger returns an empty Ledger. The epoch must be another one after each start of the owner, and not 0. onEnd is
// called with each request that has ended: its server and when it was admitted.
func NewLedger(epoch int64, onEnd func(server string, admitted time.Time)) *Ledger {
	return &Ledger{epoch: epoch, channels: make(map[string]*channel), loads: make(map[string]Load), onEnd: onEnd}
}

// A channel is the state of one sender.
type channel struct {
	epoch int64
	// ackEpoch is the epoch of the owner's acks, another one each time that a channel is opened.
	ackEpoch int64
	floor    ID
	// synced is set once a full message has been applied.
	synced bool
	open   map[ID]openEntry
	// ended holds the IDs from floor on that have ended.
	ended map[ID]struct{}
}

// An openEntry is a request that has not ended.
type openEntry struct {
	server            string
	tokens            int
	admitted, expires time.Time
}

// Load returns the load that the senders have at a server.
func (l *Ledger) Load(server string) Load { return l.loads[server] }

// Epoch returns the owner's epoch.
func (l *Ledger) Epoch() int64 { return l.epoch }

// Apply applies a message. A message of a process of the sender that the Ledger does not know has no effect until it
// names the process that it replaces, which the Ack asks for: it may be a late one of a process that has died.
func (l *Ledger) Apply(m Message, now time.Time) Ack {
	c := l.channels[m.Sender]
	if c != nil && c.epoch != m.Epoch && c.epoch == m.Replaces {
		l.clear(c)
		c = nil
	}
	if c == nil {
		c = l.openChannel(m.Sender, m.Epoch)
	}
	if c.epoch != m.Epoch {
		return Ack{Epoch: c.ackEpoch, Current: c.epoch}
	}
	if m.Full && m.Next-m.Floor <= maxFullRange {
		l.reconcile(c, m)
	}
	for _, e := range m.Began {
		l.add(c, e, now)
	}
	for _, id := range m.Ended {
		l.end(c, id)
	}
	l.raiseFloor(c, m.Floor)
	return Ack{Epoch: c.ackEpoch, Resync: !c.synced}
}

// Add records that a request of a sender has been admitted. It returns false if the request must not be admitted,
// because the sender has given it up or another process of the sender is known.
func (l *Ledger) Add(sender string, epoch int64, e Entry, now time.Time) bool {
	c := l.channel(sender, epoch)
	return c != nil && l.add(c, e, now)
}

// End records that an admission has ended or was denied.
func (l *Ledger) End(sender string, epoch int64, id ID) {
	if c := l.channel(sender, epoch); c != nil {
		l.end(c, id)
	}
}

// HasEnded reports whether an admission has ended, or belongs to another process of the sender than the known one.
func (l *Ledger) HasEnded(sender string, epoch int64, id ID) bool {
	c := l.channel(sender, epoch)
	return c == nil || c.hasEnded(id)
}

// IsOpen reports whether an admission is counted. An owner that gets a copy of a request for it must not deny it.
func (l *Ledger) IsOpen(sender string, epoch int64, id ID) bool {
	c := l.channels[sender]
	if c == nil || c.epoch != epoch {
		return false
	}
	_, open := c.open[id]
	return open
}

// Expire drops the entries that must have ended by now.
func (l *Ledger) Expire(now time.Time) {
	for _, c := range l.channels {
		for id, e := range c.open {
			if !now.Before(e.expires) {
				l.end(c, id)
			}
		}
	}
}

// RetainSenders drops the entries of all senders for which isListed is false. A sender that is still running
// is asked for a full message when it sends again.
func (l *Ledger) RetainSenders(isListed func(sender string) bool) {
	for sender, c := range l.channels {
		if !isListed(sender) {
			l.clear(c)
			delete(l.channels, sender)
		}
	}
}

// channel returns the state of a sender's process, or nil if another process of the sender is known. Epochs are not
// ordered, since the time of day may go back.
func (l *Ledger) channel(sender string, epoch int64) *channel {
	c := l.channels[sender]
	if c == nil {
		c = l.openChannel(sender, epoch)
	}
	if c.epoch != epoch {
		return nil
	}
	return c
}

// openChannel begins the state of a sender's process.
func (l *Ledger) openChannel(sender string, epoch int64) *channel {
	l.opened++
	c := &channel{epoch: epoch, ackEpoch: l.epoch + l.opened, open: make(map[ID]openEntry), ended: make(map[ID]struct{})}
	l.channels[sender] = c
	return c
}

// reconcile ends the IDs that a full message shows to have ended.
func (l *Ledger) reconcile(c *channel, m Message) {
	c.synced = true
	l.raiseFloor(c, m.Floor)
	running := make(map[ID]bool, len(m.Began)+len(m.Asked))
	for _, e := range m.Began {
		running[e.ID] = true
	}
	for _, id := range m.Asked {
		running[id] = true
	}
	for id := m.Floor; id < m.Next; id++ {
		if !running[id] {
			l.end(c, id)
		}
	}
}

func (c *channel) hasEnded(id ID) bool {
	_, ended := c.ended[id]
	return ended || id < c.floor
}

// add records an entry unless it has ended. It reports whether the entry is open.
func (l *Ledger) add(c *channel, e Entry, now time.Time) bool {
	if c.hasEnded(e.ID) {
		return false
	}
	if _, ok := c.open[e.ID]; ok {
		return true
	}
	c.open[e.ID] = openEntry{
		server: e.Server, tokens: e.Tokens, admitted: now, expires: now.Add(time.Duration(e.TTLMs) * time.Millisecond),
	}
	l.count(e.Server, 1, e.Tokens)
	return true
}

// end records that an ID has ended.
func (l *Ledger) end(c *channel, id ID) {
	l.remove(c, id)
	if id >= c.floor {
		c.ended[id] = struct{}{}
	}
}

// raiseFloor ends all IDs below a floor.
func (l *Ledger) raiseFloor(c *channel, floor ID) {
	if floor <= c.floor {
		return
	}
	c.floor = floor
	for id := range c.open {
		if id < floor {
			l.remove(c, id)
		}
	}
	maps.DeleteFunc(c.ended, func(id ID, _ struct{}) bool { return id < floor })
}

func (l *Ledger) clear(c *channel) {
	for id := range c.open {
		l.remove(c, id)
	}
}

func (l *Ledger) remove(c *channel, id ID) {
	e, ok := c.open[id]
	if !ok {
		return
	}
	delete(c.open, id)
	l.count(e.server, -1, -e.tokens)
	l.onEnd(e.server, e.admitted)
}

func (l *Ledger) count(server string, running, tokens int) {
	sum := l.loads[server]
	sum.Running += running
	sum.Tokens += tokens
	if sum == (Load{}) {
		delete(l.loads, server)
		return
	}
	l.loads[server] = sum
}

// Servers returns the servers at which senders have load, in order.
func (l *Ledger) Servers() []string { return slices.Sorted(maps.Keys(l.loads)) }
