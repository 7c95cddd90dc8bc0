package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/relay"
)

// poison is the body of a request that terminates the server running it.
const poison = "ends whoever runs it"

// contactTime is the maximum time until all gateways know of the third termination. maxLateSends is the number of sends
// allowed after it. Both are requirements of the platform.
const (
	contactTime  = 3 * time.Second
	maxLateSends = 3
)

// restartTime is the time from the termination of a fragile server to its restart.
const restartTime = 300 * time.Millisecond

// fragileServers terminate when they receive poison, and restart after restartTime as a new instance at the same address.
// They answer all other requests.
type fragileServers struct {
	t    *testing.T
	rest script
	ends atomic.Int64
	// mended says that poison is harmless. keepsNext says that the next copy is left unanswered until the gateway
	// closes its connection.
	mended, keepsNext atomic.Bool
	// world is where restarted servers are listed.
	world *world
	// mu guards over, which says that no more restarts may be scheduled. restarts counts the pending ones.
	mu       sync.Mutex
	over     bool
	restarts sync.WaitGroup
}

// newFragileWorld starts a gateway with n fragile servers.
func newFragileWorld(t *testing.T, n int, rest script) (*world, *fragileServers) {
	f := &fragileServers{t: t, rest: rest}
	var list []*worker
	for i := range n {
		list = append(list, f.start(fmt.Sprint("s", i), "127.0.0.1:0", 1))
	}
	f.world = newWorld(t, list...)
	t.Cleanup(f.stop)
	return f.world, f
}

// start starts an instance of a server.
func (f *fragileServers) start(name, addr string, run int) *worker {
	var x *worker
	var end sync.Once
	started := make(chan struct{})
	x = newWorkerAt(f.t, fmt.Sprintf("%s-%d", name, run), addr, func(c *call) bool {
		if c.body != poison || f.mended.Load() {
			return f.rest(c)
		}
		if f.keepsNext.Swap(false) {
			<-c.gone
			return false
		}
		<-started
		end.Do(func() {
			f.ends.Add(1)
			x.end()
			f.restart(func() { f.world.putServer(f.start(name, x.addr, run+1), false) })
		})
		return false
	})
	x.instance = name
	close(started)
	return x
}

// restart schedules call after restartTime.
func (f *fragileServers) restart(call func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.over {
		return
	}
	f.restarts.Add(1)
	time.AfterFunc(restartTime, func() {
		defer f.restarts.Done()
		call()
	})
}

// stop waits for the pending restarts.
func (f *fragileServers) stop() {
	f.mu.Lock()
	f.over = true
	f.mu.Unlock()
	f.restarts.Wait()
}

// A pacedCaller sends copies of one request to gateways in turn, each with a new request id and from a different address.
type pacedCaller struct {
	w      *world
	fronts []string
	path   string
	// sent is the number of copies sent.
	sent int
}

func (p *pacedCaller) copy() reply {
	req := p.w.request(http.MethodPost, p.path, poison)
	req.URL.Host = p.fronts[p.sent%len(p.fronts)]
	p.sent++
	req.Header.Set(names.RequestID, fmt.Sprint("copy-", p.sent))
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+p.sent))}}
	transport := &http.Transport{DialContext: dialer.DialContext}
	defer transport.CloseIdleConnections()
	return doWith(&http.Client{Transport: transport}, req)
}

// TestRequestUnderWhichServersEnd checks that a request that terminates servers is quarantined at all gateways. Without
// that, a caller that resends the request under a new id, to a different gateway each time, terminates one server after
// another.
func TestRequestUnderWhichServersEnd(t *testing.T) {
	const pace = 100 * time.Millisecond
	w, servers := newFragileWorld(t, 12, answer(http.StatusOK, "fine"))
	caller := &pacedCaller{w: w, path: pathUnsafe, fronts: []string{w.front}}
	for _, m := range startFleet(t, w, relay.Width+1) {
		caller.fronts = append(caller.fronts, m.front)
	}
	var third time.Time
	var late int64
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for third.IsZero() || time.Since(third) < contactTime+2*time.Second {
		before := servers.ends.Load()
		got := caller.copy()
		assert.NilError(t, got.err)
		reached := servers.ends.Load() > before
		if third.IsZero() && servers.ends.Load() >= 3 {
			third = time.Now()
		}
		if reached && !third.IsZero() && time.Since(third) > contactTime {
			late++
		}
		if !reached {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "it has not run, and the answer has to say so")
		}
		ok := w.post(pathUnsafe, fmt.Sprint("innocent ", caller.sent))
		assert.Equal(t, ok.status, http.StatusOK, "another request is not served: %s", ok.body)
		assert.Assert(t, caller.sent < 100, "no third end after 100 copies")
		<-ticker.C
	}
	assert.Assert(t, late <= maxLateSends, "%d of %d servers ended later than %s after the third", late, servers.ends.Load(), contactTime)
}
