package gateway_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/config"
	"rockcleat/internal/wire"
	"rockcleat/overload"
)

const (
	processorReason = "the gateway is short of processor time; not run"
	processorShort  = "short of processor time"
)

// limitDelay enables refusals while processor time is short.
func limitDelay(s *config.Gateway) { s.Processor.MaxDelay = config.Duration(250 * time.Millisecond) }

// A lateClock is the real clock, except that it can delay the ticks by which a gateway measures its own delay.
type lateClock struct {
	clocktest.Real
	late atomic.Bool
}

// Subscribe implements clock.Service.
func (c *lateClock) Subscribe(interval time.Duration, f func(now time.Time)) (stop func()) {
	if interval != overload.TickInterval {
		return c.Real.Subscribe(interval, f)
	}
	const lateBy = 400 * time.Millisecond
	var last time.Time
	return c.Real.Subscribe(interval, func(now time.Time) {
		if c.late.Load() && now.Sub(last) < lateBy {
			return
		}
		last = now
		f(now)
	})
}

// newLateEnv starts a gateway whose ticks are late and that therefore would refuse every request. Its server answers
// at once, but requests to pathStream only when the returned function is called.
func newLateEnv(t *testing.T) (env *testEnv, c *lateClock, server *fakeServer, release func()) {
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	server = newFakeServer(t, "a", func(c *call) bool {
		if strings.HasPrefix(c.RequestURI, pathStream) {
			c.write(c.streamHead(), event(1))
			<-released
			return false
		}
		c.write(c.head(200, "Content-Length: 2"), "ok")
		return true
	})
	c = &lateClock{}
	env = prepareTestEnvWithClock(t, c, limitDelay, server)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitServers(1)
	assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
	c.late.Store(true)
	env.awaitShare(1)
	return env, c, server, release
}

// awaitShare waits until the gateway logs that it refuses at least the given share of requests.
func (env *testEnv) awaitShare(share float64) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		for _, line := range env.logs.FilterMessage(processorShort).All() {
			if line.ContextMap()["share"].(float64) >= share {
				return poll.Success()
			}
		}
		return poll.Continue("no line with share %v", share)
	})
}

// awaitStream begins a stream and waits for its first event.
func (env *testEnv) awaitStream() {
	resp, err := env.client.Do(env.request(http.MethodGet, pathStream, ""))
	assert.NilError(env.t, err)
	env.t.Cleanup(func() { resp.Body.Close() })
	assert.Equal(env.t, resp.StatusCode, http.StatusOK)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(env.t, err)
}

func assertRefusedForProcessor(t *testing.T, got reply) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, processorReason+"\n")
	assert.Assert(t, got.header.Get("Retry-After") != "")
}

// TestRefusesWhileLate checks what a gateway whose ticks are late refuses: new requests, before their bodies have arrived,
// and not the calls of other gateways and the balancer.
func TestRefusesWhileLate(t *testing.T) {
	env, c, server, _ := newLateEnv(t)
	assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK, "the only request is served")
	env.awaitStream()
	before := server.count()
	for range 10 {
		assertRefusedForProcessor(t, env.post(pathUnsafe, "x"))
	}
	for _, length := range []int{1000, 100_000} {
		assertRefusedForProcessor(t, env.sendHeaderOnly(length))
	}
	assert.Equal(t, server.count(), before, "a refused request has run")
	assert.Assert(t, env.logs.FilterField(zap.String("reason", processorReason)).Len() > 0, "refusals are not logged")

	env.awaitReady(http.StatusOK)
	for _, url := range []string{"http://" + env.ready + wire.PathHealth, "http://" + env.peer + wire.PathLimits} {
		resp, err := http.Get(url)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK, url)
	}
	resumed := env.get(pathResume, "Last-Event-Id", "1")
	assert.Assert(t, !strings.Contains(resumed.body, processorReason), "the resumption of a stream is refused")

	c.late.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := env.post(pathUnsafe, "x"); got.status != http.StatusOK {
			return poll.Continue("status %d", got.status)
		}
		return poll.Success()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		lines := env.logs.FilterMessage(processorShort).All()
		if lines[len(lines)-1].ContextMap()["state"] != "ended" {
			return poll.Continue("the end is not logged")
		}
		return poll.Success()
	})
}

// TestStoppingGatewayServesWhileLate checks that a stopping gateway serves the requests that the balancer still
// sends, although its ticks are late.
func TestStoppingGatewayServesWhileLate(t *testing.T) {
	env, _, _, release := newLateEnv(t)
	env.awaitStream()
	assertRefusedForProcessor(t, env.post(pathUnsafe, "x"))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = env.gateway.Stop(context.Background())
	}()
	env.awaitLines("leaving", 1)
	got := env.post(pathUnsafe, "x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
	release()
	<-stopped
}

// TestNoRefusalsByDefault checks that a gateway without the setting refuses nothing when its ticks are late.
func TestNoRefusalsByDefault(t *testing.T) {
	server := newFakeServer(t, "a", func(c *call) bool { c.write(c.head(200, "Content-Length: 2"), "ok"); return true })
	c := &lateClock{}
	c.late.Store(true)
	env := prepareTestEnvWithClock(t, c, func(*config.Gateway) {}, server)
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitServers(1)
	for range 10 {
		assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
	}
	assert.Equal(t, env.logs.FilterMessage(processorShort).Len(), 0)
}

// sendHeaderOnly sends a request without the body of the given length that its header announces, and returns the
// response.
func (env *testEnv) sendHeaderOnly(length int) reply {
	conn, err := net.Dial("tcp", env.front)
	assert.NilError(env.t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: id-2\r\nContent-Length: %d\r\n\r\n", pathUnsafe, host, names.RequestID, length)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(env.t, err)
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// burnProcessor uses some 20 ms of processor time.
func burnProcessor() {
	block := make([]byte, 64<<10)
	for range 300 {
		sha256.Sum256(block)
	}
}

// burnTime returns how long burnProcessor takes while nothing else runs in the process.
func burnTime() time.Duration {
	const n = 10
	began := time.Now()
	for range n {
		burnProcessor()
	}
	return time.Since(began) / n
}

// TestControlWhileProcessorIsShort keeps the only processor of a gateway busy: 150 callers send requests without a pause,
// each of which takes processor time in the same process. It guards against readiness checks and calls of other
// gateways that wait behind the requests, refused requests that run, and refusals that outlast the load, also on connections that were
// opened under it.
func TestControlWhileProcessorIsShort(t *testing.T) {
	const (
		callers = 150
		// maxWait bounds the time of a readiness check and a call of another gateway, in multiples of burnTime, so that it
		// does not depend on the speed of the machine. Without refusals, they wait behind all callers several times.
		maxWait = 200
		// unusedConns is the number of connections that are opened under load and used when it has ended.
		unusedConns = 10
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	unit := burnTime()
	var mu sync.Mutex
	ran := make(map[string]bool)
	server := newFakeServer(t, "a", func(c *call) bool {
		mu.Lock()
		ran[c.Header.Get(names.RequestID)] = true
		mu.Unlock()
		burnProcessor()
		c.write(c.head(200, "Content-Length: 2"), "ok")
		return true
	})
	env := newTestEnvWith(t, limitDelay, server)
	env.awaitServers(1)
	load := startLoad(env, callers)
	env.awaitLines(processorShort, 1)
	var waits []time.Duration
	for range 3 {
		began := time.Now()
		env.awaitReady(http.StatusOK)
		resp, err := http.Get("http://" + env.peer + wire.PathLimits)
		assert.NilError(t, err)
		resp.Body.Close()
		waits = append(waits, time.Since(began))
	}
	unused := env.dial(unusedConns)
	refused, served := load.stop()
	slices.Sort(waits)
	median := waits[len(waits)/2]
	t.Logf("%d served, %d refused; two control calls take %v at the median, %.0f times a request's work", served, len(refused), median, float64(median)/float64(unit))
	assert.Assert(t, len(refused) > 0 && served > 0)
	assert.Assert(t, median < maxWait*unit)
	for _, id := range refused {
		assert.Assert(t, !ran[id], "refused request %s has run", id)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		lines := env.logs.FilterMessage(processorShort).All()
		if lines[len(lines)-1].ContextMap()["state"] != "ended" {
			return poll.Continue("refusals have not ended")
		}
		return poll.Success()
	})
	assert.Equal(t, env.post(pathUnsafe, "x").status, http.StatusOK)
	for i, conn := range unused {
		assert.Equal(t, env.postOn(conn).StatusCode, http.StatusOK, "connection %d, opened under load", i)
	}
}

// dial opens connections to the gateway.
func (env *testEnv) dial(n int) []net.Conn {
	conns := make([]net.Conn, n)
	for i := range conns {
		conn, err := net.Dial("tcp", env.front)
		assert.NilError(env.t, err)
		env.t.Cleanup(func() { _ = conn.Close() })
		conns[i] = conn
	}
	return conns
}

// postOn sends a request on an open connection and returns the response.
func (env *testEnv) postOn(conn net.Conn) *http.Response {
	assert.NilError(env.t, env.request(http.MethodPost, pathUnsafe, "x").Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(env.t, err)
	return resp
}

// A load sends requests to a gateway until it is stopped.
type load struct {
	env     *testEnv
	stopped chan struct{}
	callers sync.WaitGroup

	mu      sync.Mutex
	refused []string
	served  int
}

// startLoad starts callers that each send one request after the other.
func startLoad(env *testEnv, callers int) *load {
	l := &load{env: env, stopped: make(chan struct{})}
	for i := range callers {
		l.callers.Go(func() { l.call(i) })
	}
	return l
}

func (l *load) call(caller int) {
	for n := 0; ; n++ {
		select {
		case <-l.stopped:
			return
		default:
		}
		id := fmt.Sprintf("load-%d-%d", caller, n)
		got := l.env.post(pathUnsafe, "x", names.RequestID, id)
		l.mu.Lock()
		if got.body == processorReason+"\n" {
			l.refused = append(l.refused, id)
		} else if got.status == http.StatusOK {
			l.served++
		}
		l.mu.Unlock()
	}
}

// stop ends the load and returns the IDs of the refused requests and the number of the served ones.
func (l *load) stop() (refused []string, served int) {
	close(l.stopped)
	l.callers.Wait()
	return l.refused, l.served
}
