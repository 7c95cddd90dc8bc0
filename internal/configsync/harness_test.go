package configsync

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// Times of the test fleets.
const (
	reportInterval = 100 * time.Millisecond
	maxAge         = time.Second
	// settleTime is long enough for all steps that involve no timeout.
	settleTime = 500 * time.Millisecond
)

const testKey = "config"

// errBlocked is the error of calls that are blocked.
var errBlocked = errors.New("call blocked by the test")

// A member is one gateway of a fleet.
type member struct {
	t      *testing.T
	addr   string
	syncer *Syncer
	fleet  *fleet
	// version is the one in force.
	version atomic.Uint64
	// patches and fullTransfers count the responses to fetches with and without a base.
	patches, fullTransfers atomic.Int64
	// received counts the patch bytes passed to OnTransfer.
	received atomic.Int64
	// lists and watches count calls to the store.
	lists, watches atomic.Int64
	// noStore blocks calls to the store, noPeers those to other gateways.
	noStore, noPeers atomic.Bool
	// readTime delays each response of the store that carries a value, in nanoseconds.
	readTime atomic.Int64
}

// A fleet is a set of gateways that share a store.
type fleet struct {
	t     *testing.T
	store *kvtest.Store
	// mu guards members.
	mu      sync.Mutex
	members []*member
	// leader is the index of the leading member, noLeader if there is none.
	leader atomic.Int64
	// tree is set if, without a leader, the members after the relays report to one of these.
	tree bool
	// startWait is the StartWait of members.
	startWait time.Duration
}

// relays is the number of members after the first that are relays in a tree.
const relays = 8

// isRelay reports whether a member is a relay.
func (f *fleet) isRelay(index int64) bool { return f.tree && index >= 1 && index <= relays }

// maxAgeOf returns the maximum age of the configuration of a member. In a tree, members after the relays wait a quarter
// longer before they read the store.
func (f *fleet) maxAgeOf(index int64) time.Duration {
	if f.tree && index > relays {
		return maxAge + maxAge/4
	}
	return maxAge
}

const noLeader = -1

// newFleet starts size gateways, of which the first leads.
func newFleet(t *testing.T, size int) *fleet {
	return (&fleet{t: t, store: kvtest.New(clocktest.Real{})}).start(size)
}

// newTree starts size gateways, of which the first leads and the next ones are relays.
func newTree(t *testing.T, size int) *fleet {
	return (&fleet{t: t, store: kvtest.New(clocktest.Real{}), tree: true}).start(size)
}

// start starts size gateways.
func (f *fleet) start(size int) *fleet {
	f.write(1)
	return f.startWithoutConfig(size)
}

// startWithoutConfig starts size gateways before there is a configuration.
func (f *fleet) startWithoutConfig(size int) *fleet {
	for range size {
		f.join(false)
	}
	go f.reports()
	f.wait(settleTime)
	return f
}

// join starts one more gateway; noStore blocks its calls to the store from the start.
func (f *fleet) join(noStore bool) *member {
	m := &member{t: f.t, fleet: f, addr: strconv.Itoa(len(f.members))}
	m.noStore.Store(noStore)
	index := int64(len(f.members))
	m.syncer = New(Options{
		Store: m, Key: testKey, Applier: m, Peers: m, Health: m, Clock: clocktest.Real{}, Log: zap.NewNop(),
		IsWatcher: func() bool { return f.leader.Load() == index }, IsRelay: func() bool { return f.isRelay(index) },
		MaxAge:     func() time.Duration { return f.maxAgeOf(index) },
		OnTransfer: m.count, StartWait: func() time.Duration { return f.startWait },
	})
	f.mu.Lock()
	f.members = append(f.members, m)
	f.mu.Unlock()
	go m.syncer.Run(f.t.Context())
	return m
}

// wait advances the test's fake clock by d.
func (f *fleet) wait(d time.Duration) {
	clock.Sleep(f.t.Context(), clocktest.Real{}, d)
	synctest.Wait()
}

// reports sends the members' reports every reportInterval, each to the leader or, without one, to the next
// member.
func (f *fleet) reports() {
	for f.t.Context().Err() == nil {
		f.reportOnce()
		clock.Sleep(f.t.Context(), clocktest.Real{}, reportInterval)
	}
}

func (f *fleet) reportOnce() {
	f.mu.Lock()
	members := slices.Clone(f.members)
	f.mu.Unlock()
	for i, m := range members {
		target := f.leader.Load()
		if target == noLeader {
			target = f.targetWithoutLeader(i, len(members))
		}
		if target != int64(i) {
			members[target].handleReport(m)
		}
	}
}

// targetWithoutLeader returns the member that member i reports to while there is no leader: the next one or, in a tree,
// a relay. Relays then send no reports.
func (f *fleet) targetWithoutLeader(i, size int) int64 {
	switch {
	case !f.tree:
		return int64((i + 1) % size)
	case f.isRelay(int64(i)):
		return int64(i)
	}
	return int64(1 + i%relays)
}

// handleReport processes the report of another member and responds with m's announcement.
func (m *member) handleReport(other *member) {
	m.syncer.HandleVersion(other.syncer.Announcement().Version, other.addr)
	other.syncer.HandleAnnouncement(m.syncer.Announcement(), m.addr, time.Now())
}

// write writes a version to the store.
func (f *fleet) write(version int) {
	f.store.Set(testKey, append([]byte(strconv.Itoa(version)+"\n"), config(0, 20, noRoute)...))
}

// checkVersion checks that version is in force on all members.
func (f *fleet) checkVersion(version uint64) {
	f.t.Helper()
	for _, m := range f.members {
		assert.Equal(f.t, m.version.Load(), version, "gateway %s", m.addr)
	}
}

// count implements Options.OnTransfer.
func (m *member) count(from Origin, bytes int, _ error) {
	if from == FromGateway {
		m.received.Add(int64(bytes))
	}
}

// Apply implements Applier.
func (m *member) Apply(value []byte, _ Origin) (uint64, error) {
	head, _, _ := bytes.Cut(value, []byte("\n"))
	version, err := strconv.ParseUint(string(head), 10, 64)
	if err != nil {
		return 0, err
	}
	m.version.Store(max(m.version.Load(), version))
	return version, nil
}

// FetchConfig implements Peers.
func (m *member) FetchConfig(_ context.Context, addr string, r Request) (Transfer, error) {
	if m.noPeers.Load() {
		return Transfer{}, errBlocked
	}
	i, err := strconv.Atoi(addr)
	assert.NilError(m.t, err)
	m.fleet.mu.Lock()
	peer := m.fleet.members[i]
	m.fleet.mu.Unlock()
	t, err := peer.syncer.Transfer(r)
	if t.Base != 0 {
		m.patches.Add(1)
	} else {
		m.fullTransfers.Add(1)
	}
	return t, err
}

// ListPrefix implements kv.PrefixStore.
func (m *member) ListPrefix(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	m.lists.Add(1)
	if m.noStore.Load() {
		return nil, 0, errBlocked
	}
	clock.Sleep(ctx, clocktest.Real{}, time.Duration(m.readTime.Load()))
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return m.fleet.store.ListPrefix(ctx, prefix)
}

// WatchPrefix implements kv.PrefixStore.
func (m *member) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	m.watches.Add(1)
	if m.noStore.Load() {
		return nil, 0, errBlocked
	}
	events, at, err := m.fleet.store.WatchPrefix(ctx, prefix, after, wait)
	if len(events) > 0 {
		clock.Sleep(ctx, clocktest.Real{}, time.Duration(m.readTime.Load()))
	}
	if m.noStore.Load() {
		return nil, 0, errBlocked
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return events, at, err
}

// Unreachable implements HealthRecorder.
func (m *member) Unreachable(error) {}

// Reachable implements HealthRecorder.
func (m *member) Reachable() {}
