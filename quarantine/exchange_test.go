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

// A node is a process with its table and its link.
type node struct {
	table *quarantine.Table
	link  *quarantine.Link
}

func newNode(c *clocktest.Clock) *node {
	var changes []quarantine.Change
	table := newTable(c, &changes)
	return &node{table: table, link: quarantine.NewLink(table, quarantine.AllRecords)}
}

// exchange sends one message to a peer and, unless lost is set, applies the reply.
func (n *node) exchange(name string, peer *node, lost bool) {
	reply := peer.table.Answer(n.link.Message(name), quarantine.SharedRecords)
	if !lost {
		n.link.ApplyReply(reply)
	}
}

// isQuarantined reports whether the request is in quarantine at the node.
func (n *node) isQuarantined(k quarantine.Key) bool {
	_, _, quarantined := n.table.Quarantine(quarantine.ContentTrait(k))
	return quarantined
}

// TestCrashesAtSeveralProcesses checks that crashes seen by three different processes lead to a quarantine in all
// processes after two exchanges with a common peer.
func TestCrashesAtSeveralProcesses(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, nodes := newNode(c), []*node{newNode(c), newNode(c), newNode(c), newNode(c)}
	for i, n := range nodes[:3] {
		n.table.RecordCrash(fmt.Sprint("s", i), suspects(key(1))...)
	}
	for range 2 {
		for _, n := range nodes {
			n.exchange("hub", hub, false)
		}
	}
	for i, n := range append(nodes, hub) {
		assert.Assert(t, n.isQuarantined(key(1)), "process %d", i)
	}
}

// TestPeerRestart checks that a common peer learns of a quarantine again after it restarts, and passes it on.
func TestPeerRestart(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, n := newNode(c), newNode(c)
	for _, server := range []string{"a", "b", "c"} {
		n.table.RecordCrash(server, suspects(key(1))...)
	}
	n.exchange("hub", hub, false)
	hub = newNode(c)
	n.exchange("hub", hub, false)
	n.exchange("hub", hub, false)
	assert.Assert(t, hub.isQuarantined(key(1)))
	late := newNode(c)
	late.exchange("hub", hub, false)
	assert.Assert(t, late.isQuarantined(key(1)))
}

// TestNothingNew checks that processes with the same records exchange none.
func TestNothingNew(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	hub, n := newNode(c), newNode(c)
	n.table.RecordCrash("a", suspects(key(1))...)
	n.exchange("hub", hub, false)
	n.exchange("hub", hub, false)
	m := n.link.Message("hub")
	assert.Equal(t, len(m.Records), 0)
	assert.Assert(t, hub.table.Answer(m, quarantine.SharedRecords) == nil)
}

// TestManyRecords checks that more records than fit in one message all arrive.
func TestManyRecords(t *testing.T) {
	const requests = 1000
	c := clocktest.New(time.Unix(0, 0))
	hub, n, other := newNode(c), newNode(c), newNode(c)
	for i := range requests {
		n.table.RecordCrash("a", suspects(key(i))...)
		n.table.RecordCrash("b", suspects(key(i))...)
	}
	for range 6 {
		n.exchange("hub", hub, false)
		other.exchange("hub", hub, false)
	}
	for i, x := range []*node{hub, other} {
		_, suspected := x.table.Counts()
		assert.Equal(t, suspected, requests, "process %d", i)
	}
}

// TestStaleRecordIsIgnored checks that neither a record from before the request was cleared nor one that is too old
// starts a quarantine.
func TestStaleRecordIsIgnored(t *testing.T) {
	c := clocktest.New(time.Unix(0, 0))
	a, b := newNode(c), newNode(c)
	for _, server := range []string{"a", "b", "c"} {
		a.table.RecordCrash(server, suspects(key(1))...)
	}
	late := a.link.Message("b")
	a.table.Clear(key(1))
	a.exchange("b", b, false)
	b.table.Merge(late.Records)
	assert.Assert(t, !b.isQuarantined(key(1)))
	old := newNode(c)
	late.Records[0].AgeMs = (3 * hold).Milliseconds()
	old.table.Merge(late.Records)
	assert.Equal(t, old.table.Crashes(key(1)), 0)
}

// TestAnyOrder checks with random crashes, successful requests, lost replies and process restarts that a request with
// DefaultCrashThreshold crashes that was never cleared is in quarantine at every process after two exchanges with the
// common peer, and that no process ever counts more crashes of a request than there were. A process exchanges its records
// before it restarts.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { anyOrder(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// A history holds the servers that crashed with each request of anyOrder, and the requests that were cleared.
type history struct {
	crashed map[int]map[string]bool
	cleared map[int]bool
}

func anyOrder(t *testing.T, r *rand.Rand) {
	const requests, processes, steps = 5, 6, 300
	c := clocktest.New(time.Unix(0, 0))
	nodes := make([]*node, processes)
	for i := range nodes {
		nodes[i] = newNode(c)
	}
	h := history{crashed: make(map[int]map[string]bool), cleared: make(map[int]bool)}
	for i := range requests {
		h.crashed[i] = make(map[string]bool)
	}
	exchange := func(hub int, lose bool) {
		for i, n := range nodes {
			if i != hub {
				n.exchange(fmt.Sprint(hub), nodes[hub], lose && r.IntN(3) == 0)
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
			nodes[i].table.RecordCrash(server, suspects(key(k))...)
			h.crashed[k][server] = true
		case 2:
			if k == 0 && nodes[i].table.Clear(key(k)) {
				h.cleared[k] = true
			}
		case 3:
			// The records of the process are exchanged before it restarts.
			exchange(hub, false)
			nodes[i] = newNode(c)
		case 4:
			exchange(hub, false)
			hub = r.IntN(processes)
			exchange(hub, false)
		default:
			exchange(hub, true)
		}
		checkCrashCounts(t, nodes, h)
	}
	exchange(hub, false)
	exchange(hub, false)
	for k, servers := range h.crashed {
		for i, n := range nodes {
			if !h.cleared[k] && len(servers) >= quarantine.DefaultCrashThreshold {
				assert.Assert(t, n.isQuarantined(key(k)), "process %d does not hold request %d with %d ends", i, k, len(servers))
			}
		}
	}
}

// checkCrashCounts checks that no node counts more crashes of a request than there were.
func checkCrashCounts(t *testing.T, nodes []*node, h history) {
	t.Helper()
	for _, n := range nodes {
		for k, servers := range h.crashed {
			assert.Assert(t, n.table.Crashes(key(k)) <= len(servers))
		}
	}
}
