package departure_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/departure"
)

// A node is a process with its table and its list of servers.
type node struct {
	table    *departure.Table
	link     *departure.Link
	registry *backend.Registry
}

func newNode(c *clocktest.Clock) *node {
	n := &node{registry: &backend.Registry{}}
	n.table = departure.New(departure.Options{Clock: c, OnAnnouncement: func(departure.Announcement) { n.registry.Refresh(c.Now()) }})
	n.link = departure.NewLink(n.table)
	n.registry.SetAnnouncedLeaving(n.table.HasAnnounced)
	return n
}

func (n *node) accepts(id string) bool {
	s, ok := n.registry.Snapshot().Server(id)
	return ok && s.AcceptsRequests()
}

// TestAnnouncementsUnderRandomEvents draws announcements, lists that arrive late, restarts, exchanges and expirations at
// two processes, and checks that a process never uses an instance of which it knows that it is leaving, that it uses
// every other listed instance, and that both know all announcements after an exchange.
func TestAnnouncementsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clocktest.New(time.Unix(0, 0))
		nodes := []*node{newNode(c), newNode(c)}
		runs := []int{0, 0, 0}
		id := func(server int) string { return fmt.Sprintf("s%d@%d", server, runs[server]) }
		list := func() []backend.Server {
			var l []backend.Server
			for i := range runs {
				l = append(l, backend.Server{ID: id(i), Instance: fmt.Sprint("s", i), Service: "app", Addr: fmt.Sprint("10.0.0.", i, ":80")})
			}
			return l
		}
		lists := [][]backend.Server{list()}
		known := []map[string]bool{{}, {}}
		announced := map[string]bool{}
		for _, n := range nodes {
			n.registry.Replace(lists[0], c.Now())
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "node")
			server := rapid.IntRange(0, len(runs)-1).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				nodes[i].table.Observe(id(server))
				known[i][id(server)], announced[id(server)] = true, true
			case 1:
				runs[server]++
				lists = append(lists, list())
			case 2:
				nodes[i].registry.Replace(lists[rapid.IntRange(0, len(lists)-1).Draw(t, "list")], c.Now())
			case 3:
				nodes[i].link.ApplyReply(nodes[1-i].table.Answer(nodes[i].link.Message("peer")))
				for a := range announced {
					known[i][a], known[1-i][a] = known[0][a] || known[1][a], known[0][a] || known[1][a]
				}
			case 4:
				snapshot := nodes[i].registry.Snapshot()
				nodes[i].table.Expire(func(s string) bool { _, ok := snapshot.Server(s); return ok })
			}
			for k, n := range nodes {
				for server := range runs {
					for run := range runs[server] + 1 {
						instance := fmt.Sprintf("s%d@%d", server, run)
						_, listed := n.registry.Snapshot().Server(instance)
						if got, want := n.accepts(instance), listed && !known[k][instance]; got != want {
							t.Fatalf("process %d: instance %s accepts requests: %t, want %t", k, instance, got, want)
						}
					}
				}
			}
		}
	})
}
