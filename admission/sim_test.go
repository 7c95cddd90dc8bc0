package admission

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"
)

// activeSenders is the maximum number of gateways that send in a simulation. The others only fill the owner's account.
const activeSenders = 4

// A simulation is a number of gateways, of which some own servers and some send requests. Each step is drawn: a request is
// asked for, begins or ends, a call is delivered, lost or duplicated, a process dies or starts.
//
// A call is delivered to whichever process of the owner runs then, its copies to that process only, since they belong to
// one connection. Replies and grants reach the process that they are for, or none.
type simulation struct {
	t       *rapid.T
	now     time.Time
	epoch   int64
	owners  []*simOwner
	senders []*simSender
	flight  []*call
	// passive is the number of gateways that only have one request running without admission.
	passive int
}

// A call is a message in transit: to an owner from a sender, or a reply or grant if both are nil. to, if set, is the process
// of the owner that got the first copy.
type call struct {
	owner   *simOwner
	sender  *simSender
	to      *Ledger
	deliver func()
}

// A simOwner is a gateway that owns servers, in its present process.
type simOwner struct {
	name    string
	servers []string
	slots   int
	ledger  *Ledger
	queue   []waiting
	// forgotten holds the senders whose channel the owner has lost, until it is acknowledged to be complete again.
	forgotten map[*simSender]bool
	// changed is set once the owner has lost what it had admitted.
	changed bool
}

// A waiting is a request in an owner's queue.
type waiting struct {
	sender *simSender
	epoch  int64
	entry  Entry
}

// A simSender is a process of a gateway that sends requests.
type simSender struct {
	gateway  string
	epoch    int64
	alive    bool
	box      *Outbox
	requests map[simKey]*simRequest
}

type simKey struct {
	owner *simOwner
	id    ID
}

// A simRequest has been asked for, or runs.
type simRequest struct {
	entry   Entry
	until   time.Time
	running bool
	// admittedBy is the process of the owner that admitted it.
	admittedBy *Ledger
}

func newSimulation(t *rapid.T, gateways int) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0)}
	for i := range 2 {
		o := &simOwner{
			name: fmt.Sprint("owner-", i), slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			servers: []string{fmt.Sprintf("server-%d-0", i), fmt.Sprintf("server-%d-1", i)},
		}
		s.startOwner(o)
		s.owners = append(s.owners, o)
	}
	for i := range min(gateways-len(s.owners), activeSenders) {
		s.senders = append(s.senders, s.newSender(fmt.Sprint("gateway-", i)))
	}
	s.passive = gateways - len(s.owners) - len(s.senders)
	for i := range s.passive {
		s.fill("passive-" + strconv.Itoa(i))
	}
	return s
}

// fill lets a passive gateway have one request at a server without limit.
func (s *simulation) fill(gateway string) {
	e := Entry{ID: 1, Server: "unlimited", Tokens: 1, TTLMs: int(time.Hour.Milliseconds())}
	s.owners[0].ledger.Add(gateway, 1, e, s.now)
}

func (s *simulation) newEpoch() int64 {
	s.epoch++
	// Epochs are not ordered.
	return s.epoch * 7919 % 1000003 * 1000
}

func (s *simulation) newSender(gateway string) *simSender {
	epoch := s.newEpoch()
	return &simSender{
		gateway: gateway, epoch: epoch, alive: true, box: NewOutbox(gateway, epoch), requests: make(map[simKey]*simRequest),
	}
}

func (s *simulation) startOwner(o *simOwner) {
	o.ledger = NewLedger(s.newEpoch(), func(string, time.Time) {})
	o.queue = nil
	o.forgotten = make(map[*simSender]bool)
	for _, x := range s.senders {
		o.forgotten[x] = true
	}
}

// channelOf returns the owner's state of a gateway, which is empty if it has none.
func (o *simOwner) channelOf(x *simSender) *channel {
	if c := o.ledger.channels[x.gateway]; c != nil {
		return c
	}
	return &channel{}
}

// channelEpoch returns the epoch that the owner acknowledges the messages of a gateway with.
func (o *simOwner) channelEpoch(gateway string) int64 {
	if c := o.ledger.channels[gateway]; c != nil {
		return c.ackEpoch
	}
	return 0
}

// post sends a call, or a reply or grant if owner and sender are nil.
func (s *simulation) post(o *simOwner, x *simSender, deliver func()) {
	s.flight = append(s.flight, &call{owner: o, sender: x, deliver: deliver})
}

// draw returns one of a list.
func draw[T any](s *simulation, label string, list []T) T {
	return list[rapid.IntRange(0, len(list)-1).Draw(s.t, label)]
}

// newRequest draws a request for a server of an owner.
func (s *simulation) newRequest(o *simOwner) (Entry, time.Time) {
	ttl := time.Duration(rapid.IntRange(1, 20).Draw(s.t, "ttl")) * 700 * time.Microsecond
	e := Entry{Server: draw(s, "server", o.servers), Tokens: rapid.IntRange(0, 3).Draw(s.t, "tokens")}
	e.TTLMs = int((ttl + time.Millisecond - 1) / time.Millisecond)
	return e, s.now.Add(ttl)
}

// ask lets a sender ask an owner for an admission.
func (s *simulation) ask(x *simSender, o *simOwner) {
	e, until := s.newRequest(o)
	e.ID = x.box.Ask(o.name, e.Server, e.Tokens, until)
	x.requests[simKey{o, e.ID}] = &simRequest{entry: e, until: until}
	m := x.box.Message(o.name, s.now)
	s.post(o, x, func() { s.place(o, x, m, e) })
}

// begin lets a sender send a request without admission.
func (s *simulation) begin(x *simSender, o *simOwner) {
	e, until := s.newRequest(o)
	e.ID = x.box.Begin(o.name, e.Server, e.Tokens, until)
	x.requests[simKey{o, e.ID}] = &simRequest{entry: e, until: until, running: true}
}

// end ends a request of a sender or gives it up.
func (s *simulation) end(x *simSender, k simKey) {
	delete(x.requests, k)
	x.box.End(k.owner.name, k.id)
}

// notify sends what an owner has not acknowledged, if there is anything.
func (s *simulation) notify(x *simSender, o *simOwner) {
	if x.box.IsPending(o.name) {
		s.send(x, o)
	}
}

func (s *simulation) send(x *simSender, o *simOwner) {
	m := x.box.Message(o.name, s.now)
	s.post(o, x, func() {
		a := o.ledger.Apply(m, s.now)
		s.grant(o)
		s.reply(x, o, m, a, func() {})
	})
}

// place decides a request for admission: admitted, queued or denied.
func (s *simulation) place(o *simOwner, x *simSender, m Message, e Entry) {
	a := o.ledger.Apply(m, s.now)
	ledger := o.ledger
	switch {
	case ledger.HasEnded(m.Sender, m.Epoch, e.ID):
		s.reply(x, o, m, a, func() { s.denied(x, o, e.ID) })
	case ledger.IsOpen(m.Sender, m.Epoch, e.ID):
		s.reply(x, o, m, a, func() { s.admitted(x, o, ledger, e.ID) })
	case slices.ContainsFunc(o.queue, func(w waiting) bool { return w.sender == x && w.entry.ID == e.ID }):
		s.reply(x, o, m, a, func() {})
	case ledger.Load(e.Server).Running < o.slots:
		ledger.Add(m.Sender, m.Epoch, e, s.now)
		s.reply(x, o, m, a, func() { s.admitted(x, o, ledger, e.ID) })
	case rapid.Bool().Draw(s.t, "queue"):
		o.queue = append(o.queue, waiting{sender: x, epoch: m.Epoch, entry: e})
		s.reply(x, o, m, a, func() {})
	default:
		ledger.End(m.Sender, m.Epoch, e.ID)
		s.reply(x, o, m, a, func() { s.denied(x, o, e.ID) })
	}
	s.grant(o)
}

// reply sends the reply to a message. then is what else it tells.
func (s *simulation) reply(x *simSender, o *simOwner, m Message, a Ack, then func()) {
	ledger := o.ledger
	s.post(nil, nil, func() {
		if !x.alive {
			return
		}
		if rapid.Bool().Draw(s.t, "ack first") {
			x.box.Acknowledged(o.name, m, a)
			then()
		} else {
			then()
			x.box.Acknowledged(o.name, m, a)
		}
		if c := x.box.channels[o.name]; !c.needsFull && ledger == o.ledger && c.ownerEpoch == o.channelEpoch(x.gateway) {
			delete(o.forgotten, x)
		}
	})
}

// grant admits queued requests while there are slots.
func (s *simulation) grant(o *simOwner) {
	ledger := o.ledger
	o.queue = slices.DeleteFunc(o.queue, func(w waiting) bool {
		x, id := w.sender, w.entry.ID
		if ledger.HasEnded(x.gateway, w.epoch, id) {
			return true
		}
		if ledger.Load(w.entry.Server).Running >= o.slots || !ledger.Add(x.gateway, w.epoch, w.entry, s.now) {
			return false
		}
		s.post(nil, nil, func() { s.admitted(x, o, ledger, id) })
		return true
	})
}

func (s *simulation) admitted(x *simSender, o *simOwner, by *Ledger, id ID) {
	if !x.alive || !x.box.Admitted(o.name, id) {
		return
	}
	r := x.requests[simKey{o, id}]
	r.running, r.admittedBy = true, by
}

func (s *simulation) denied(x *simSender, o *simOwner, id ID) {
	if !x.alive {
		return
	}
	x.box.Denied(o.name, id)
	if r := x.requests[simKey{o, id}]; r != nil && !r.running {
		delete(x.requests, simKey{o, id})
	}
}

// deliver delivers a call. A copy stays in transit if asked for.
func (s *simulation) deliver(i int, again bool) {
	c := s.flight[i]
	if !again {
		s.flight = slices.Delete(s.flight, i, i+1)
	}
	if c.owner != nil {
		if c.to == nil {
			c.to = c.owner.ledger
		}
		if c.to != c.owner.ledger {
			return
		}
	}
	c.deliver()
}

// restart replaces a sender's process by a new one.
func (s *simulation) restart(i int) {
	s.senders[i].alive = false
	s.senders[i] = s.newSender(s.senders[i].gateway)
	for _, o := range s.owners {
		o.forgotten[s.senders[i]] = true
	}
}

// advance lets time pass. Requests end when their time is over.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, x := range s.senders {
		for _, k := range x.keys(func(r *simRequest) bool { return !s.now.Before(r.until) }) {
			s.end(x, k)
		}
	}
	for _, o := range s.owners {
		o.ledger.Expire(s.now)
		s.grant(o)
	}
}

// keys returns the keys of the requests for which f holds, in order.
func (x *simSender) keys(f func(*simRequest) bool) []simKey {
	var list []simKey
	for k, r := range x.requests {
		if f(r) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b simKey) int {
		if a.owner != b.owner {
			return slices.Compare([]byte(a.owner.name), []byte(b.owner.name))
		}
		return int(a.id) - int(b.id)
	})
	return list
}

// isListed reports whether a gateway has a running process.
func (s *simulation) isListed(gateway string) bool {
	for _, x := range s.senders {
		if x.gateway == gateway {
			return x.alive
		}
	}
	return true
}

// An action is a step of a simulation.
type action struct {
	name string
	do   func(*simulation)
}

// ordinary are the steps without a process that dies. Frequent ones are listed more than once.
var ordinary = []action{
	{"ask", ifAlive((*simulation).ask)},
	{"ask", ifAlive((*simulation).ask)},
	{"begin", ifAlive((*simulation).begin)},
	{"end", (*simulation).endAny},
	{"notify", ifAlive((*simulation).notify)},
	{"notify", ifAlive((*simulation).notify)},
	{"deliver", func(s *simulation) { s.deliverAny(false) }},
	{"deliver", func(s *simulation) { s.deliverAny(false) }},
	{"deliver", func(s *simulation) { s.deliverAny(false) }},
	{"deliver a copy", func(s *simulation) { s.deliverAny(true) }},
	{"lose", (*simulation).loseAny},
	{"advance", func(s *simulation) {
		s.advance(time.Duration(rapid.IntRange(1, 40).Draw(s.t, "time")) * 100 * time.Microsecond)
	}},
}

// senderDeaths are the steps in which processes of senders die, ownerDeaths those in which owners lose their state.
var (
	senderDeaths = []action{
		{"restart sender", func(s *simulation) { s.restart(rapid.IntRange(0, len(s.senders)-1).Draw(s.t, "sender")) }},
		{"kill sender", func(s *simulation) { s.anySender().kill() }},
		{"list", (*simulation).list},
	}
	ownerDeaths = []action{
		{"restart owner", (*simulation).restartOwner},
		{"drop sender", (*simulation).dropAny},
		{"reset", (*simulation).resetAny},
	}
)

func (s *simulation) anySender() *simSender { return draw(s, "sender", s.senders) }

// ifAlive calls f with a sender and an owner if the sender is running.
func ifAlive(f func(*simulation, *simSender, *simOwner)) func(*simulation) {
	return func(s *simulation) {
		if x, o := s.anySender(), draw(s, "owner", s.owners); x.alive {
			f(s, x, o)
		}
	}
}

func (x *simSender) kill() {
	x.alive = false
	clear(x.requests)
}

func (s *simulation) endAny() {
	x := s.anySender()
	if keys := x.keys(func(*simRequest) bool { return true }); len(keys) > 0 {
		s.end(x, draw(s, "request", keys))
	}
}

func (s *simulation) restartOwner() {
	o := draw(s, "owner", s.owners)
	s.startOwner(o)
	o.changed = true
	if o == s.owners[0] {
		s.passive = 0
	}
}

func (s *simulation) deliverAny(again bool) {
	if len(s.flight) > 0 {
		s.deliver(rapid.IntRange(0, len(s.flight)-1).Draw(s.t, "call"), again)
	}
}

func (s *simulation) loseAny() {
	if len(s.flight) > 0 {
		i := rapid.IntRange(0, len(s.flight)-1).Draw(s.t, "call")
		s.flight = slices.Delete(s.flight, i, i+1)
	}
}

// list gives the owners the list of gateways.
func (s *simulation) list() {
	for _, o := range s.owners {
		o.queue = slices.DeleteFunc(o.queue, func(w waiting) bool { return !s.isListed(w.sender.gateway) })
		o.ledger.RetainSenders(s.isListed)
		s.grant(o)
	}
}

// dropAny lets an owner drop a sender that is running, as when it was missing from the list of gateways for two seconds.
// Copies of calls that were delivered before do not arrive after that.
func (s *simulation) dropAny() {
	x, o := s.anySender(), draw(s, "owner", s.owners)
	s.flight = slices.DeleteFunc(s.flight, func(c *call) bool { return c.to == o.ledger && c.sender == x })
	o.ledger.RetainSenders(func(gateway string) bool { return gateway != x.gateway })
	o.forgotten[x], o.changed = true, true
}

// resetAny lets a sender drop an owner that was missing from the list of gateways.
func (s *simulation) resetAny() {
	x, o := s.anySender(), draw(s, "owner", s.owners)
	x.box.Reset(o.name)
	for _, k := range x.keys(func(*simRequest) bool { return true }) {
		if k.owner == o {
			delete(x.requests, k)
		}
	}
	o.forgotten[x], o.changed = true, true
}
