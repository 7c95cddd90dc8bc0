package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The names that the table tests use.
const (
	gateway = "gateway-1"
	owner   = "gateway-2"
	server  = "server-1"
)

// A pair is a sender, the messages that it has made, and an owner.
type pair struct {
	now    time.Time
	ledger *Ledger
	box    *Outbox
	ended  int
	made   []Message
}

func newPair() *pair {
	p := &pair{now: time.Unix(1000, 0), box: NewOutbox(gateway, 50)}
	p.restartOwner(9)
	return p
}

func (p *pair) restartOwner(epoch int64) {
	p.ledger = NewLedger(epoch, func(string, time.Time) { p.ended++ })
}

func (p *pair) until() time.Time { return p.now.Add(time.Second) }
func (p *pair) ask() ID          { return p.box.Ask(owner, server, 10, p.until()) }
func (p *pair) begin() ID        { return p.box.Begin(owner, server, 10, p.until()) }

// grant admits an ID at the owner, which its sender does not know yet.
func (p *pair) grant(id ID) bool {
	return p.ledger.Add(gateway, p.box.epoch, Entry{ID: id, Server: server, Tokens: 10, TTLMs: 1000}, p.now)
}

// admit admits an ID at both sides.
func (p *pair) admit(id ID) {
	p.grant(id)
	p.box.Admitted(owner, id)
}

// make makes the next message.
func (p *pair) make() Message {
	m := p.box.Message(owner, p.now)
	p.made = append(p.made, m)
	return m
}

// exchange makes the next message and delivers it and its reply.
func (p *pair) exchange() { p.deliver(p.make()) }

// deliver delivers a message and its reply.
func (p *pair) deliver(m Message) { p.box.Acknowledged(owner, m, p.ledger.Apply(m, p.now)) }

// report exchanges messages while the sender has something to report.
func (p *pair) report() {
	for range 3 {
		if p.box.IsPending(owner) {
			p.exchange()
		}
	}
}

// TestRules guards against an account that differs from what runs after the messages of one rule have arrived.
func TestRules(t *testing.T) {
	tests := map[string]struct {
		play func(*pair)
		// running and ended are the numbers of requests that the owner counts, and has seen end.
		running, ended int
	}{
		"an admission counts from its grant": {play: func(p *pair) { p.grant(p.ask()) }, running: 1},
		"a copy of an ask counts once": {play: func(p *pair) {
			id := p.ask()
			p.exchange()
			p.grant(id)
			p.deliver(p.made[0])
			p.grant(id)
		}, running: 1},
		"a copy of an ask after its end": {play: func(p *pair) {
			id := p.ask()
			p.exchange()
			p.admit(id)
			p.box.End(owner, id)
			p.exchange()
			p.deliver(p.made[0])
			p.grant(id)
		}, ended: 1},
		"an ask after the end of its ID": {play: func(p *pair) {
			p.begin()
			id := p.ask()
			p.box.End(owner, id)
			p.exchange()
			p.grant(id)
		}, running: 1},
		"copies of an end": {play: func(p *pair) {
			id := p.begin()
			p.exchange()
			p.box.End(owner, id)
			p.exchange()
			p.deliver(p.made[1])
		}, ended: 1},
		"a late copy of a full message": {play: func(p *pair) {
			id := p.begin()
			p.exchange()
			p.box.End(owner, id)
			p.exchange()
			p.deliver(p.made[0])
		}, ended: 1},
		"a full message overtaken by a grant": {play: func(p *pair) {
			id := p.ask()
			m := p.make()
			p.grant(id)
			p.deliver(m)
		}, running: 1},
		"a full message overtaken by a later ask": {play: func(p *pair) {
			m := p.make()
			p.grant(p.ask())
			p.deliver(m)
		}, running: 1},
		"a denied admission that is granted to a late copy": {play: func(p *pair) {
			p.begin()
			id := p.ask()
			p.exchange()
			p.ledger.End(gateway, 50, id)
			p.box.Denied(owner, id)
			p.deliver(p.made[0])
			p.grant(id)
		}, running: 1},
		"a denial for a request that runs": {play: func(p *pair) {
			id := p.ask()
			p.admit(id)
			p.box.Denied(owner, id)
			p.exchange()
		}, running: 1},
		"a lost end is repeated": {play: func(p *pair) {
			id := p.begin()
			p.exchange()
			p.box.End(owner, id)
			p.make()
			p.report()
		}, ended: 1},
		"a new process of the sender": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.box = NewOutbox(gateway, 40)
			p.begin()
			p.report()
		}, running: 1, ended: 1},
		"a late message of a process that was replaced": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.box = NewOutbox(gateway, 40)
			p.begin()
			p.report()
			p.ledger.Apply(p.made[0], p.now)
		}, running: 1, ended: 1},
		"the first message of a process arrives after it was replaced": {play: func(p *pair) {
			p.begin()
			late := p.make()
			p.box = NewOutbox(gateway, 40)
			p.begin()
			p.exchange()
			p.ledger.Apply(late, p.now)
			p.begin()
			p.report()
		}, running: 2},
		"a new process of the owner": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.restartOwner(8)
			p.begin()
			p.report()
		}, running: 2},
		"a late reply of the owner's last process": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.box.Reset(owner)
			p.begin()
			late := p.make()
			ack := p.ledger.Apply(late, p.now)
			p.exchange()
			p.restartOwner(8)
			p.begin()
			p.exchange()
			p.box.Acknowledged(owner, late, ack)
			p.report()
		}, running: 2, ended: 1},
		"a grant of the owner's last process": {play: func(p *pair) {
			id := p.ask()
			p.make()
			p.restartOwner(8)
			p.deliver(p.made[0])
			p.box.Admitted(owner, id)
			p.report()
		}, running: 1},
		"a grant to a late ask after a new process of the owner": {play: func(p *pair) {
			id := p.ask()
			p.box.End(owner, id)
			p.exchange()
			p.restartOwner(8)
			p.grant(id)
			p.box.Admitted(owner, id)
			p.report()
		}, ended: 1},
		"a late full message after the sender was dropped": {play: func(p *pair) {
			p.begin()
			p.exchange()
			id := p.ask()
			p.admit(id)
			p.ledger.RetainSenders(func(string) bool { return false })
			p.ledger.Apply(p.made[0], p.now)
			p.begin()
			p.report()
		}, running: 3, ended: 2},
		"a sender that is not listed": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.ledger.RetainSenders(func(sender string) bool { return sender != gateway })
		}, ended: 1},
		"an owner that was dropped and runs": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.box.Reset(owner)
			p.report()
		}, ended: 1},
		"a reply that was made before the owner was dropped": {play: func(p *pair) {
			p.begin()
			ack := p.ledger.Apply(p.make(), p.now)
			p.box.Reset(owner)
			p.box.Acknowledged(owner, p.made[0], ack)
			p.report()
		}, ended: 1},
		"before the end of the TTL": {play: func(p *pair) {
			p.box.Begin(owner, server, 10, p.now.Add(1700*time.Microsecond))
			p.exchange()
			p.ledger.Expire(p.now.Add(1600 * time.Microsecond))
		}, running: 1},
		"after the end of the TTL": {play: func(p *pair) {
			p.begin()
			p.exchange()
			p.ledger.Expire(p.until())
			p.deliver(p.made[0])
		}, ended: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			test.play(p)
			assert.Equal(t, p.ledger.Load(server), Load{Running: test.running, Tokens: 10 * test.running})
			assert.Equal(t, p.ended, test.ended)
		})
	}
}

// TestDecision guards against an owner that denies a copy of a request that it has admitted, or admits one that has ended.
func TestDecision(t *testing.T) {
	p := newPair()
	open, ended, denied := p.ask(), p.ask(), p.ask()
	p.exchange()
	p.admit(open)
	p.admit(ended)
	p.box.End(owner, ended)
	p.ledger.End(gateway, 50, denied)
	p.exchange()
	tests := map[string]struct {
		epoch         int64
		id            ID
		isOpen, ended bool
	}{
		"open":            {epoch: 50, id: open, isOpen: true},
		"ended":           {epoch: 50, id: ended, ended: true},
		"denied":          {epoch: 50, id: denied, ended: true},
		"unknown":         {epoch: 50, id: denied + 1},
		"another process": {epoch: 51, id: open, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, p.ledger.IsOpen(gateway, test.epoch, test.id), test.isOpen)
			assert.Equal(t, p.ledger.HasEnded(gateway, test.epoch, test.id), test.ended)
		})
	}
}

// TestIsPending guards against an end that is never reported, and against a message without content.
func TestIsPending(t *testing.T) {
	tests := map[string]struct {
		play func(*pair)
		want bool
	}{
		"nothing":                   {play: func(*pair) {}},
		"asked":                     {play: func(p *pair) { p.ask() }},
		"begun":                     {play: func(p *pair) { p.begin() }, want: true},
		"begun and reported":        {play: func(p *pair) { p.begin(); p.exchange() }},
		"ended":                     {play: func(p *pair) { p.box.End(owner, p.ask()) }, want: true},
		"denied":                    {play: func(p *pair) { p.box.Denied(owner, p.ask()) }},
		"reset without admissions":  {play: func(p *pair) { p.box.Reset(owner) }},
		"reset":                     {play: func(p *pair) { p.begin(); p.exchange(); p.box.Reset(owner) }, want: true},
		"reset and reported":        {play: func(p *pair) { p.begin(); p.box.Reset(owner); p.exchange() }},
		"another process is known":  {play: func(p *pair) { p.ledger.Add(gateway, 1, Entry{}, p.now); p.ask(); p.exchange() }, want: true},
		"another process was named": {play: func(p *pair) { p.ledger.Add(gateway, 1, Entry{}, p.now); p.ask(); p.exchange(); p.exchange() }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			test.play(p)
			assert.Equal(t, p.box.IsPending(owner), test.want)
		})
	}
}

// TestReset guards against an ID that is used again after Reset, which the owner would take for ended.
func TestReset(t *testing.T) {
	p := newPair()
	last := p.begin()
	p.box.Reset(owner)
	assert.Equal(t, p.ask(), last+1)
	m := p.make()
	assert.Assert(t, m.Full)
	assert.Equal(t, m.Floor, last+1)
	assert.Equal(t, len(m.Began)+len(m.Ended), 0)
	assert.DeepEqual(t, p.box.Owners(), []string{owner})
}

// TestReplyOfAnotherProcess guards against a reply of the owner's last process that is taken for one of the present process,
// which does not know of the request.
func TestReplyOfAnotherProcess(t *testing.T) {
	p := newPair()
	p.exchange()
	id := p.begin()
	late := p.make()
	ack := p.ledger.Apply(late, p.now)
	p.restartOwner(8)
	p.box.channel(owner).ownerEpoch = p.ledger.Apply(Message{Sender: gateway, Epoch: 50, Full: true}, p.now).Epoch
	p.box.Acknowledged(owner, late, ack)
	assert.Assert(t, p.box.channel(owner).open[id].unadmitted)
	p.report()
	assert.Equal(t, p.ledger.Load(server).Running, 1)
}
