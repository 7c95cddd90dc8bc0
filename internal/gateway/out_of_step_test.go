package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/gateway"
	"rockcleat/internal/wire"
	"rockcleat/kv"
)

// A cut separates one gateway from the store and from all other gateways.
type cut struct {
	// peer is the address at which others call the gateway.
	peer   string
	active atomic.Bool
}

var errCut = errors.New("the gateway is cut off")

// A cutStore is the store of the gateway that a cut separates.
type cutStore struct {
	gateway.Store
	cut *cut
}

// Get implements gateway.Store.
func (s cutStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.cut.active.Load() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Put implements gateway.Store.
func (s cutStore) Put(ctx context.Context, w kv.Write) (kv.Revision, error) {
	if s.cut.active.Load() {
		return 0, kv.ErrUnavailable
	}
	return s.Store.Put(ctx, w)
}

// KeepAlive implements gateway.Store.
func (s cutStore) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	if s.cut.active.Load() {
		return kv.ErrUnavailable
	}
	return s.Store.KeepAlive(ctx, id)
}

// cutPeers is the transport to other gateways. inside tells whether it is that of the gateway that the cut separates.
type cutPeers struct {
	http.RoundTripper
	cut    *cut
	inside bool
}

// RoundTrip implements http.RoundTripper.
func (p cutPeers) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.cut.active.Load() && (p.inside || r.URL.Host == p.cut.peer) {
		return nil, errCut
	}
	return p.RoundTripper.RoundTrip(r)
}

// A cutFleet is a fleet of gateways whose leader can be cut off.
type cutFleet struct {
	*testEnv
	cut cut
	// leader and member are the addresses of the leader and of another gateway for callers.
	leader, member string
	prefixes       *disconnectableStore
}

// newCutFleet starts n gateways, the leader first.
func newCutFleet(t *testing.T, n int) *cutFleet {
	env := newTestEnvWithoutGateway(t, clocktest.Real{})
	f := &cutFleet{testEnv: env, prefixes: &disconnectableStore{PrefixStore: env.store}}
	for i := range n {
		s := gatewaySettings(t, fmt.Sprint("g", i))
		s.Gateways = n
		o := env.options(s, env.store)
		if i == 0 {
			f.cut.peer, f.leader = s.PeerListen, s.Listen
			o = env.options(s, f.prefixes)
			o.Store = cutStore{env.store, &f.cut}
		}
		s.Seeds = []string{f.cut.peer}
		o.Settings = s
		o.Peers = cutPeers{RoundTripper: wire.NewTransport(&wire.TrafficCounter{}), cut: &f.cut, inside: i == 0}
		env.gateway = env.startGatewayWith(o)
		if i == 0 {
			env.putConfig()
		}
		f.member = s.Listen
		awaitReadyAt(t, s.ReadyListen, http.StatusOK)
	}
	return f
}

// cutOff separates the leader from everything but callers and servers.
func (f *cutFleet) cutOff() {
	f.cut.active.Store(true)
	f.prefixes.disconnected.Store(true)
}

// beginStreamAt begins a stream at the member, at a server of the given version, and returns the ID of the attempt.
func (f *cutFleet) beginStreamAt(servers []versionedServer, version string) (attempt string) {
	f.t.Helper()
	n := 0
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		n++
		attempt = fmt.Sprint("begins-", n)
		if err := f.tryToBeginStream(f.member, attempt); err != nil {
			return poll.Continue("%v", err)
		}
		if got := versionsOf(servers, names.RequestID, attempt); got[0] != version {
			return poll.Continue("the stream began at %v", got)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	return attempt
}

// TestStreamsAtALeaderThatIsCutOff guards against a stream that goes on at another software version: the leader is cut off while
// its lease still runs, servers of a new version join, and a caller resumes at the leader a stream that began there through
// another gateway.
func TestStreamsAtALeaderThatIsCutOff(t *testing.T) {
	const observed = 5 * time.Second
	for _, n := range []int{2, 4, 7} {
		t.Run(fmt.Sprint(n, " gateways"), func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t, n)
			servers := startVersionedServers(t, f.testEnv, stallUntilGone, "v1", "v1")
			f.beginStreamAt(servers, "v1")
			f.cutOff()
			for i := range 2 {
				added := versionedServer{version: "v2", fakeServer: newFakeServer(t, fmt.Sprint("new", i), interrupted(stallUntilGone))}
				f.putVersion(added)
				servers = append(servers, added)
			}
			begins := f.beginStreamAt(servers, "v2")
			end := time.Now().Add(observed)
			for i := 0; time.Now().Before(end); i++ {
				resumes := fmt.Sprint("resumes-", i)
				got := f.resumeStream(f.leader, resumes, begins)
				for _, version := range versionsOf(servers, names.RequestID, resumes) {
					assert.Equal(t, version, "v2", "%v after the cut: status %d", observed-time.Until(end), got.status)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
}
