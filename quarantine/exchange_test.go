package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/quarantine"
)

// A node is a process with its table and its side of the exchange.
type node struct {
	table *quarantine.Table
	link  *quarantine.Link
}

func newNode(c *clocktest.Clock) *node {
	var changes []quarantine.Change
	table := newTable(c, &changes)
	return &node{table: table, link: quarantine.NewLink(table, quarantine.AllEnds)}
}

// ask exchanges once with a peer; lost says that the answer does not arrive.
func (n *node) ask(name string, peer *node, lost bool) {
	reply := peer.table.Answer(n.link.Message(name), quarantine.SharedEnds)
	if !lost {
		n.link.Apply(reply)
	}
}

func (n *node) holds(k quarantine.Key) bool {
	_, held := n.table.Until(k)
	return held
}

// TestEndsOfManyProcesses lets each of three processes see one end: all know of the quarantine after two
// exchanges with the one that they all ask.
func TestEndsOfManyProcesses(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, nodes := newNode(c), []*node{newNode(c), newNode(c), newNode(c), newNode(c)}
	for i, n := range nodes[:3] {
		n.table.Ended(fmt.Sprint("s", i), key(1))
	}
	for range 2 {
		for _, n := range nodes {
			n.ask("hub", hub, false)
		}
	}
	for i, n := range append(nodes, hub) {
		assert.Assert(t, n.holds(key(1)), "process %d", i)
	}
}

// TestPeerStartsAnew restarts the process that all ask: it knows of the quarantine again after one
// exchange, and a process that knows nothing hears of it then.
func TestPeerStartsAnew(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, n := newNode(c), newNode(c)
	for _, server := range []string{"a", "b", "c"} {
		n.table.Ended(server, key(1))
	}
	n.ask("hub", hub, false)
	hub = newNode(c)
	n.ask("hub", hub, false)
	n.ask("hub", hub, false)
	assert.Assert(t, hub.holds(key(1)))
	late := newNode(c)
	late.ask("hub", hub, false)
	assert.Assert(t, late.holds(key(1)))
}

// TestNothingNew checks that processes that know the same exchange nothing.
func TestNothingNew(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, n := newNode(c), newNode(c)
	n.table.Ended("a", key(1))
	n.ask("hub", hub, false)
	n.ask("hub", hub, false)
	m := n.link.Message("hub")
	assert.Equal(t, len(m.Records), 0)
	assert.Assert(t, hub.table.Answer(m, quarantine.SharedEnds) == nil)
}

// TestManyRecords exchanges more records than one message takes.
func TestManyRecords(t *testing.T) {
	const requests = 1000
	c := clocktest.New(time.Unix(0, 0))
	hub, n, other := newNode(c), newNode(c), newNode(c)
	for i := range requests {
		n.table.Ended("a", key(i))
		n.table.Ended("b", key(i))
	}
	for range 6 {
		n.ask("hub", hub, false)
		other.ask("hub", hub, false)
	}
	for i, x := range []*node{hub, other} {
		_, suspected := x.table.Len()
		assert.Equal(t, suspected, requests, "process %d", i)
	}
}

// TestLateRecordDoesNotRevive hands on a record that was made before the ends were voided, and one that
// is too old.
func TestLateRecordDoesNotRevive(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	a, b := newNode(c), newNode(c)
	for _, server := range []string{"a", "b", "c"} {
		a.table.Ended(server, key(1))
	}
	late := a.link.Message("b")
	a.table.Void(key(1))
	a.ask("b", b, false)
	b.table.Merge(late.Records)
	assert.Assert(t, !b.holds(key(1)))
	old := newNode(c)
	late.Records[0].AgeMs = (3 * hold).Milliseconds()
	old.table.Merge(late.Records)
	assert.Equal(t, old.table.Ends(key(1)), 0)
}

// TestAnyOrder plays ends, runs that go well, messages that are lost and processes that start anew in
// random order. A request with three ends that was never voided is in quarantine at every process once
// each has exchanged twice with the one that they ask, if its ends were told before their process ended;
// no process ever has more ends of a request than there were.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { anyOrder(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// A history is what has happened to the requests of anyOrder.
type history struct {
	ends   map[int]map[string]bool
	voided map[int]bool
}

func anyOrder(t *testing.T, r *rand.Rand) {
	const requests, processes, steps = 5, 6, 300
	c := clocktest.New(time.Unix(0, 0))
	nodes := make([]*node, processes)
	for i := range nodes {
		nodes[i] = newNode(c)
	}
	h := history{ends: make(map[int]map[string]bool), voided: make(map[int]bool)}
	for i := range requests {
		h.ends[i] = make(map[string]bool)
	}
	exchange := func(hub int, lose bool) {
		for i, n := range nodes {
			if i != hub {
				n.ask(fmt.Sprint(hub), nodes[hub], lose && r.IntN(3) == 0)
			}
		}
	}
	hub := 0
	for step := range steps {
		c.Advance(time.Duration(r.IntN(100)) * time.Millisecond)
		i, k := r.IntN(processes), r.IntN(requests)
		switch r.IntN(8) {
		case 0, 1:
			server := fmt.Sprint("s", step)
			nodes[i].table.Ended(server, key(k))
			h.ends[k][server] = true
		case 2:
			if k == 0 && nodes[i].table.Void(key(k)) {
				h.voided[k] = true
			}
		case 3:
			// What the process saw itself has been told before it starts anew.
			exchange(hub, false)
			nodes[i] = newNode(c)
		case 4:
			exchange(hub, false)
			hub = r.IntN(processes)
			exchange(hub, false)
		default:
			exchange(hub, true)
		}
		checkEnds(t, nodes, h)
	}
	exchange(hub, false)
	exchange(hub, false)
	for k, ends := range h.ends {
		for i, n := range nodes {
			if !h.voided[k] && len(ends) >= quarantine.DefaultEnds {
				assert.Assert(t, n.holds(key(k)), "process %d does not hold request %d with %d ends", i, k, len(ends))
			}
		}
	}
}

// checkEnds checks that nobody has made up an end.
func checkEnds(t *testing.T, nodes []*node, h history) {
	t.Helper()
	for _, n := range nodes {
		for k, ends := range h.ends {
			assert.Assert(t, n.table.Ends(key(k)) <= len(ends))
		}
	}
}
