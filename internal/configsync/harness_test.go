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
	reportEvery = 100 * time.Millisecond
	maxAge      = time.Second
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
	// patches and fullTransfers count fetches answered with and without a base.
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
}

const noLeader = -1

// newFleet starts size gateways, of which the first leads.
func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, store: kvtest.New(clocktest.Real{})}
	f.write(1)
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
		Store: m, Key: testKey, Holder: m, Peers: m, Health: m, Clock: clocktest.Real{}, Log: zap.NewNop(),
		IsWatcher: func() bool { return f.leader.Load() == index }, MaxAge: func() time.Duration { return maxAge },
		OnTransfer: m.count,
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

// reports exchanges news every reportEvery: each member asks the leader or, without one, the next member.
func (f *fleet) reports() {
	for f.t.Context().Err() == nil {
		f.reportOnce()
		clock.Sleep(f.t.Context(), clocktest.Real{}, reportEvery)
	}
}

func (f *fleet) reportOnce() {
	f.mu.Lock()
	members := slices.Clone(f.members)
	f.mu.Unlock()
	for i, m := range members {
		asked := f.leader.Load()
		if asked == noLeader {
			asked = int64((i + 1) % len(members))
		}
		if asked != int64(i) {
			members[asked].answer(m)
		}
	}
}

// answer processes the report of another member and sends it m's news.
func (m *member) answer(other *member) {
	m.syncer.HeardVersion(other.syncer.News().Version, other.addr)
	other.syncer.Heard(m.syncer.News(), m.addr, time.Now())
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

// Offer implements Holder.
func (m *member) Offer(value []byte, _ Origin) (uint64, error) {
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
	holder := m.fleet.members[i]
	m.fleet.mu.Unlock()
	t, err := holder.syncer.Transfer(r)
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

// Unreachable implements Health.
func (m *member) Unreachable(error) {}

// Reachable implements Health.
func (m *member) Reachable() {}
