package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/quarantine"
	"rockcleat/relay"
)

// poison is the body of a request that makes the server running it crash. deadlyPart is a part of a prompt that does so
// unless it is the last one.
const (
	poison     = "ends whoever runs it"
	deadlyPart = "deadly"
)

// isPoison reports whether a call makes the server running it crash.
func isPoison(c *call) bool {
	return c.body == poison || strings.Contains(c.Header.Get(names.Prefix), deadlyPart+":100,")
}

// propagationTime is the maximum time until all gateways know of the third crash. maxLateSends is the number of
// sends allowed after it. Both are requirements of the platform.
const (
	propagationTime = 3 * time.Second
	maxLateSends    = 3
)

// restartTime is the time from the crash of a server to its restart.
const restartTime = 300 * time.Millisecond

// crashingServers crash when they receive a call that isPoison, and restart after restartTime as a new instance at the same address.
// They handle all other requests with fallback.
type crashingServers struct {
	t        *testing.T
	fallback responder
	crashes  atomic.Int64
	// fixed says that poison is harmless. holdNext says that the next copy is left unanswered until the gateway
	// closes its connection.
	fixed, holdNext atomic.Bool
	// env is where restarted servers are listed.
	env *testEnv
	// restartTime is the time from the crash of a server to its restart.
	restartTime time.Duration
	// mu guards stopped, which says that restarts must no longer be scheduled. restarts counts the pending ones.
	mu       sync.Mutex
	stopped  bool
	restarts sync.WaitGroup
}

// newCrashingEnv starts a gateway with n crashing servers.
func newCrashingEnv(t *testing.T, n int, fallback responder) (*testEnv, *crashingServers) {
	f := &crashingServers{t: t, fallback: fallback, restartTime: restartTime}
	var list []*fakeServer
	for i := range n {
		list = append(list, f.start(fmt.Sprint("s", i), "127.0.0.1:0", 1))
	}
	f.env = newTestEnv(t, list...)
	t.Cleanup(f.stop)
	return f.env, f
}

// start starts an instance of a server.
func (f *crashingServers) start(name, addr string, run int) *fakeServer {
	var server *fakeServer
	var end sync.Once
	started := make(chan struct{})
	server = newFakeServerAt(f.t, fmt.Sprintf("%s-%d", name, run), addr, func(c *call) bool {
		if !isPoison(c) || f.fixed.Load() {
			return f.fallback(c)
		}
		if f.holdNext.Swap(false) {
			<-c.gone
			return false
		}
		<-started
		end.Do(func() {
			f.crashes.Add(1)
			server.crash()
			f.restart(func() { f.env.putServer(f.start(name, server.addr, run+1), false) })
		})
		return false
	})
	server.instance = name
	close(started)
	return server
}

// restart schedules call after f.restartTime.
func (f *crashingServers) restart(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.restarts.Add(1)
	time.AfterFunc(f.restartTime, func() {
		defer f.restarts.Done()
		call()
	})
}

// stop waits for the pending restarts.
func (f *crashingServers) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.restarts.Wait()
}

// A copySender sends copies of one request to gateways in turn, each with a new request id and from a different
// address.
type copySender struct {
	env    *testEnv
	fronts []string
	path   string
	// sent is the number of copies sent.
	sent int
}

func (p *copySender) send() reply {
	req := p.env.request(http.MethodPost, p.path, poison)
	req.URL.Host = p.fronts[p.sent%len(p.fronts)]
	p.sent++
	req.Header.Set(names.RequestID, fmt.Sprint("copy-", p.sent))
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+p.sent))}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	defer transport.CloseIdleConnections()
	return doWith(&http.Client{Transport: transport}, req)
}

// TestRequestThatTerminatesServers checks that a request that makes servers crash is quarantined at all gateways.
// Without that, a caller that resends the request under a new id, to a different gateway each time, makes one server
// after another crash.
func TestRequestThatTerminatesServers(t *testing.T) {
	const interval = 100 * time.Millisecond
	env, servers := newCrashingEnv(t, 12, respond(http.StatusOK, "fine"))
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	for _, m := range startFleet(t, env, relay.Fanout+1) {
		caller.fronts = append(caller.fronts, m.front)
	}
	var thirdCrash time.Time
	var late int64
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for thirdCrash.IsZero() || time.Since(thirdCrash) < propagationTime+2*time.Second {
		before := servers.crashes.Load()
		got := caller.send()
		assert.NilError(t, got.err)
		reached := servers.crashes.Load() > before
		if thirdCrash.IsZero() && servers.crashes.Load() >= 3 {
			thirdCrash = time.Now()
		}
		if reached && !thirdCrash.IsZero() && time.Since(thirdCrash) > propagationTime {
			late++
		}
		if !reached {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "it has not run, and the answer has to say so")
		}
		ok := env.post(pathUnsafe, fmt.Sprint("innocent ", caller.sent))
		assert.Equal(t, ok.status, http.StatusOK, "another request is not served: %s", ok.body)
		assert.Assert(t, caller.sent < 100, "no third end after 100 copies")
		<-ticker.C
	}
	assert.Assert(t, late <= maxLateSends, "%d of %d servers ended later than %s after the third", late, servers.crashes.Load(), propagationTime)
}

// TestServersThatRestartBeforeTheyAreProbed guards against crashes that are not noticed because another instance of the
// server already listens at its address when it is probed.
func TestServersThatRestartBeforeTheyAreProbed(t *testing.T) {
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	servers.restartTime = 0
	caller := &copySender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	for range quarantine.DefaultCrashThreshold {
		assert.Equal(t, caller.send().status, http.StatusBadGateway)
	}
	env.awaitLines("request quarantined", 1)
	caller.checkRefused(servers)
}
