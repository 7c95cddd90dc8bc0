package gateway

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/resumption"
)

// originService is the service of all streams of these tests.
const originService = "llm"

// An originNode is a gateway as far as the origins of streams are concerned.
type originNode struct {
	id, hall string
	origins  *streamOrigins
	registry backend.Registry
	// running is false after a kill. isolated is set while neither other nodes nor lists of servers reach the node.
	running, isolated bool
	// listedAt is the time at which the isolation began.
	listedAt time.Time
}

// A nodeView is the serverView of a node. Lists reach it at all times unless it is isolated.
type nodeView struct {
	fleet *originFleet
	node  *originNode
}

func (v nodeView) currentAt() time.Time {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if v.node.isolated {
		return v.node.listedAt
	}
	return v.fleet.clock.Now()
}

func (nodeView) maxAge() time.Duration { return time.Second }

// An originFleet is a fleet of originNodes that call each other directly.
type originFleet struct {
	clock *clocktest.Clock
	// mu guards origins, running and isolated of the nodes: a query may still be in progress after its sender has got
	// another reply.
	mu    sync.Mutex
	nodes []*originNode
	// servers is the list of servers that the platform publishes.
	servers []backend.Server
	// isolatedTogether is set if isolated nodes reach each other.
	isolatedTogether bool
}

func newOriginFleet(n int) *originFleet {
	f := &originFleet{clock: clocktest.New(time.Unix(0, 0))}
	for i := range n {
		f.nodes = append(f.nodes, &originNode{id: fmt.Sprint("g", i), hall: fmt.Sprint("h", i%3)})
	}
	for _, node := range f.nodes {
		f.start(node, true)
	}
	return f
}

// start starts a node with an empty memory. It learns the lists of gateways and servers at once.
func (f *originFleet) start(node *originNode, first bool) {
	gateways := newDirectory(node.id, len(f.nodes), nil, first)
	versions := backend.NewVersionHistory(resumption.Retention)
	if first {
		versions.SetComplete()
	}
	log := newRequestLog(zap.NewNop(), noMetrics{}, f.clock, wire.HeaderNames{})
	peers := originLink{fleet: f, from: node}
	origins := &streamOrigins{
		self: node.id, table: resumption.New(f.clock), versions: versions, gateways: gateways, peers: peers,
		sender: newOriginSender(context.Background(), peers, log), clock: f.clock, servers: nodeView{f, node},
	}
	node.registry = backend.Registry{}
	f.change(func() { node.origins, node.running = origins, true })
	node.list(f.nodes...)
	f.publishTo(node)
}

// change changes the state of nodes.
func (f *originFleet) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

func (f *originFleet) kill(node *originNode) { f.change(func() { node.running = false }) }

// isolate starts or ends the isolation of a node.
func (f *originFleet) isolate(node *originNode, isolated bool) {
	f.change(func() { node.isolated, node.listedAt = isolated, f.clock.Now() })
	f.publishTo(node)
}

// isolateTogether isolates nodes that go on reaching each other.
func (f *originFleet) isolateTogether(nodes ...*originNode) {
	f.change(func() { f.isolatedTogether = true })
	for _, node := range nodes {
		f.isolate(node, true)
	}
}

// list sets the list of gateways of a node.
func (node *originNode) list(nodes ...*originNode) {
	var list []placer.Gateway
	for _, other := range nodes {
		list = append(list, placer.Gateway{Gateway: dispatch.Gateway{ID: other.id, Hall: other.hall}, Addr: other.id})
	}
	node.origins.gateways.set(list)
}

// removeOthers removes all other nodes from the list of a node, as a leader does that gets no reports.
func (node *originNode) removeOthers() { node.list(node) }

// find looks for the origin of a stream at a node. The time goes on until the node has found it.
func (f *originFleet) find(node *originNode, k resumption.Key) originLookup {
	found := make(chan originLookup, 1)
	go func() { found <- node.origins.find(context.Background(), k, originService) }()
	for {
		select {
		case l := <-found:
			return l
		case <-time.After(time.Millisecond):
			f.clock.Advance(currentListPoll)
		}
	}
}

// publish sends a new list of servers to all nodes that can be reached.
func (f *originFleet) publish(servers []backend.Server) {
	f.servers = servers
	for _, node := range f.nodes {
		f.publishTo(node)
	}
}

func (f *originFleet) publishTo(node *originNode) {
	if !node.running || node.isolated {
		return
	}
	node.registry.Replace(f.servers, f.clock.Now())
	node.origins.versions.Observe(node.registry.Snapshot(), f.clock.Now())
}

// An originLink is the originPeers of one node.
type originLink struct {
	fleet *originFleet
	from  *originNode
}

var errUnreachable = errors.New("unreachable")

// to returns the origins of another node, if it can be reached.
func (l originLink) to(id string) (*streamOrigins, error) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	for _, node := range l.fleet.nodes {
		together := node.isolated && l.from.isolated && l.fleet.isolatedTogether
		if node.id == id && node.running && (together || !node.isolated && !l.from.isolated) {
			return node.origins, nil
		}
	}
	return nil, errUnreachable
}

func (l originLink) sendOrigins(_ context.Context, gateway string, records []resumption.Record) error {
	other, err := l.to(gateway)
	if err != nil {
		return err
	}
	other.merge(records)
	return nil
}

func (l originLink) findOrigin(_ context.Context, gateway string, q originQuery) (originReply, error) {
	other, err := l.to(gateway)
	if err != nil {
		return originReply{}, err
	}
	return other.answer(q), nil
}

// awaitSent waits until the sender has no unsent records.
func (s *originSender) awaitSent() {
	for {
		s.mu.Lock()
		n := len(s.queues)
		s.mu.Unlock()
		if n == 0 {
			return
		}
		runtime.Gosched()
	}
}

// begin records a stream that begins at a node.
func (f *originFleet) begin(node *originNode, id, version string) resumption.Key {
	k := resumption.KeyOf("", id)
	node.origins.record(k, resumption.Origin{Service: originService, Version: version})
	node.origins.sender.awaitSent()
	return k
}

func originServers(versions ...string) []backend.Server {
	servers := make([]backend.Server, len(versions))
	for i, version := range versions {
		servers[i] = backend.Server{ID: fmt.Sprint("s", i, "-", version), Service: originService, Version: version, Addr: "10.0.0.1:80"}
	}
	return servers
}

// TestOriginsUnderRandomEvents draws streams, releases, kills, restarts and isolations of gateways. It checks that a
// gateway never takes a stream for one of another version, and that it knows the version whenever it or a gateway that it
// reaches and asks holds the record.
func TestOriginsUnderRandomEvents(t *testing.T) {
	versions := []string{"v1", "v2", "v3"}
	rapid.Check(t, func(t *rapid.T) {
		f := newOriginFleet(rapid.IntRange(1, 8).Draw(t, "gateways"))
		f.publish(originServers("v1"))
		type begun struct {
			key     resumption.Key
			version string
			at      time.Time
		}
		var streams []begun
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			f.clock.Advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			node := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				if list := node.registry.Snapshot().Service(originService); node.running && len(list) > 0 {
					version := list[rapid.IntRange(0, len(list)-1).Draw(t, "server")].Version
					streams = append(streams, begun{key: f.begin(node, fmt.Sprint(step), version), version: version, at: f.clock.Now()})
				}
			case 1:
				f.publish(originServers(rapid.SliceOfN(rapid.SampledFrom(versions), 1, 3).Draw(t, "servers")...))
			case 2:
				f.kill(node)
			case 3:
				if !node.running {
					f.start(node, false)
				}
			case 4:
				f.isolate(node, !node.isolated)
				node.list(f.nodes...)
			case 6:
				if node.isolated && f.clock.Now().Sub(node.listedAt) > 2*time.Second {
					node.removeOthers()
				}
			case 5:
				if !node.running || len(streams) == 0 {
					continue
				}
				s := streams[rapid.IntRange(0, len(streams)-1).Draw(t, "stream")]
				if f.clock.Now().Sub(s.at) >= resumption.Retention {
					continue
				}
				isHeld := f.isHeldFor(node, s.key)
				got := f.find(node, s.key)
				if got.source != originUnknown && got.Version != s.version {
					t.Fatalf("stream of version %s is taken for one of %s: %+v", s.version, got.Version, got)
				}
				if isHeld && got.source == originUnknown {
					t.Fatalf("record is held and not found: %+v", got)
				}
			}
		}
	})
}

// isHeldFor reports whether a node, or one that it reaches and asks, holds the record of a stream.
func (f *originFleet) isHeldFor(node *originNode, k resumption.Key) bool {
	if _, _, ok := node.origins.table.Lookup(k); ok {
		return true
	}
	for _, id := range node.origins.holders(k, askedHolders) {
		if other, err := (originLink{fleet: f, from: node}).to(id); err == nil {
			if _, _, ok := other.table.Lookup(k); ok {
				return true
			}
		}
	}
	return false
}

// TestOriginsSurviveLossOfGateways checks how many streams can be resumed after gateways are lost, at several sizes of
// the fleet. Each stream began at a gateway that is among the lost ones.
func TestOriginsSurviveLossOfGateways(t *testing.T) {
	const streams = 2000
	tests := map[string]struct {
		// lost returns the number of lost gateways of n.
		lost func(n int) int
		// minKnown is the smallest share of streams whose version is still known.
		minKnown float64
	}{
		"one":        {lost: func(int) int { return 1 }, minKnown: 1},
		"three":      {lost: func(int) int { return 3 }, minKnown: 1},
		"half":       {lost: func(n int) int { return n / 2 }, minKnown: 0.85},
		"six tenths": {lost: func(n int) int { return n * 6 / 10 }, minKnown: 0.75},
	}
	for name, test := range tests {
		for _, n := range []int{6, 24, 103, 356, 712} {
			t.Run(fmt.Sprint(name, " of ", n), func(t *testing.T) {
				f := newOriginFleet(n)
				f.publish(originServers("v1", "v2"))
				var keys []resumption.Key
				lost := test.lost(n)
				for i := range streams {
					keys = append(keys, f.begin(f.nodes[i%lost], fmt.Sprint(i), "v1"))
				}
				for _, node := range f.nodes[:lost] {
					f.kill(node)
				}
				known := 0
				for i, k := range keys {
					asked := f.nodes[lost+i%(n-lost)]
					if got := asked.origins.find(context.Background(), k, originService); got.source != originUnknown {
						assert.Equal(t, got.Version, "v1")
						known++
					}
				}
				share := float64(known) / streams
				t.Logf("known: %.3f", share)
				assert.Assert(t, share >= test.minKnown, "known: %.3f", share)
			})
		}
	}
}

// TestOnlyVersionNeedsProof checks when a gateway without a record may assume the version of a stream: if all that it
// learns shows one version for as long as a stream may last.
func TestOnlyVersionNeedsProof(t *testing.T) {
	tests := map[string]struct {
		// change is made to three gateways that have known one version for long; the first is then asked.
		change func(f *originFleet)
		want   originSource
	}{
		"one version":            {change: func(*originFleet) {}, want: originOnlyVersion},
		"restarted gateway":      {change: func(f *originFleet) { f.start(f.nodes[0], false) }, want: originOnlyVersion},
		"all gateways restarted": {change: func(f *originFleet) { f.restartAll() }, want: originUnknown},
		"cut off":                {change: func(f *originFleet) { f.isolate(f.nodes[0], true) }, want: originUnknown},
		"release":                {change: func(f *originFleet) { f.publish(originServers("v1", "v2")) }, want: originUnknown},
		"release is complete":    {change: func(f *originFleet) { f.publish(originServers("v2")) }, want: originUnknown},
		"one gateway knows more": {change: func(f *originFleet) {
			f.isolate(f.nodes[0], true)
			f.publish(originServers("v2"))
			f.change(func() { f.nodes[0].isolated = false })
		}, want: originUnknown},
		"cut off, the others are no longer listed": {change: func(f *originFleet) {
			f.isolate(f.nodes[0], true)
			f.publish(originServers("v1", "v2"))
			f.clock.Advance(2 * time.Second)
			f.nodes[0].removeOthers()
		}, want: originUnknown},
		"cut off, the others are no longer listed, back again": {change: func(f *originFleet) {
			f.isolate(f.nodes[0], true)
			f.publish(originServers("v1", "v2"))
			f.clock.Advance(2 * time.Second)
			f.nodes[0].removeOthers()
			f.isolate(f.nodes[0], false)
			f.nodes[0].list(f.nodes...)
		}, want: originUnknown},
		"cut off with another gateway": {change: func(f *originFleet) {
			f.isolateTogether(f.nodes[:2]...)
			f.publish(originServers("v1", "v2"))
			f.clock.Advance(2 * time.Second)
		}, want: originUnknown},
		"all lists are old": {change: func(f *originFleet) {
			f.isolateTogether(f.nodes...)
			f.clock.Advance(2 * time.Second)
		}, want: originOnlyVersion},
		"the others have ended": {change: func(f *originFleet) {
			f.kill(f.nodes[1])
			f.kill(f.nodes[2])
			f.nodes[0].removeOthers()
		}, want: originOnlyVersion},
		"release was long ago":   {change: func(f *originFleet) { f.publish(originServers("v2")); f.age(); f.age() }, want: originOnlyVersion},
		"all restarted long ago": {change: func(f *originFleet) { f.restartAll(); f.age() }, want: originOnlyVersion},
		"another service differs": {change: func(f *originFleet) {
			f.publish(append(originServers("v1"), backend.Server{ID: "o", Service: "other", Version: "v9"}))
		}, want: originOnlyVersion},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newOriginFleet(3)
			f.publish(originServers("v1"))
			f.age()
			test.change(f)
			got := f.find(f.nodes[0], resumption.KeyOf("", "unknown"))
			assert.Equal(t, got.source, test.want)
		})
	}
}

func (f *originFleet) restartAll() {
	for _, node := range f.nodes {
		f.start(node, false)
	}
}

// age advances the time beyond the retention.
func (f *originFleet) age() {
	f.clock.Advance(resumption.Retention + time.Second)
	f.publish(f.servers)
}
