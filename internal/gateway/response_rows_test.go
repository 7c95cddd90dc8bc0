package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
)

// surplusRows are the ways in which surplus responses come.
var surplusRows = func() map[string]behaviour {
	rows := map[string]behaviour{
		"success before the answer":           before(0, framed, surplus{status: 200, cut: 100}),
		"success with a body before":          before(0, framed, surplus{status: 200, cut: 100, body: true}),
		"refusal with a body before":          before(0, framed, surplus{status: 503, cut: 100, body: true}),
		"1xx and refusal before":              before(0, framed, surplus{status: 503, cut: 100, informational: true}),
		"two refusals before":                 before(0, framed, refusalOf(503), refusalOf(429)),
		"refusal and success before":          before(0, framed, refusalOf(503), surplus{status: 200, cut: 100, body: true}),
		"real answer 100 ms late":             before(100*time.Millisecond, framed, refusalOf(503)),
		"real answer 100 ms late, misdirects": before(100*time.Millisecond, framed, refusalOf(421)),
		"two refusals after":                  after(0, framed, refusalOf(503), refusalOf(503)),
		"refusal and success after":           after(0, framed, refusalOf(503), surplus{status: 200, cut: 100}),
		"refusal after 5 and 20 ms": after(5*time.Millisecond, framed, refusalOf(503),
			surplus{status: 421, cut: 100, delay: 20 * time.Millisecond}),
	}
	for _, ms := range []int{0, 1, 5, 20, 50, 200} {
		for _, status := range []int{503, 429, 421} {
			rows[fmt.Sprint(status, " after ", ms, " ms")] = after(time.Duration(ms)*time.Millisecond, framed, refusalOf(status))
		}
		rows[fmt.Sprint("without an id after ", ms, " ms")] = after(time.Duration(ms)*time.Millisecond, framed, surplus{status: 503, naming: namesNone, cut: 100})
	}
	for f := range framings {
		rows[fmt.Sprint("refusal before, answer ", f)] = before(0, f, refusalOf(503))
		rows[fmt.Sprint("refusal after, answer ", f)] = after(time.Millisecond, f, refusalOf(503))
	}
	for cut := 10; cut < 100; cut += 10 {
		for _, status := range []int{503, 421} {
			rows[fmt.Sprint(status, " cut at ", cut, " per cent before")] = before(0, framed, surplus{status: status, cut: cut})
			rows[fmt.Sprint(status, " cut at ", cut, " per cent, id last")] = before(0, framed, surplus{status: status, cut: cut, idLast: true})
		}
	}
	return rows
}()

// TestSurplusResponses checks that each request runs at most once, and that its caller gets its own answer or learns that it
// may have run. It guards against a surplus response that is taken for that of the request, for any method and kind of body.
func TestSurplusResponses(t *testing.T) {
	for name, row := range surplusRows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := newRunCounter()
			env := newTestEnv(t, newFakeServer(t, "a", running(runs, row)))
			var results []callResult
			// The first request may get a new connection, the second one a surplus response.
			for _, r := range methodsAndBodies {
				for range 2 {
					results = append(results, env.callNext(results, &plannedCall{method: r.method, path: pathUnsafe, body: r.body}))
				}
			}
			for range 2 {
				results = append(results, env.callNext(results, &plannedCall{method: http.MethodPost, path: pathStream, body: "prompt"}))
			}
			checkReplies(t, runs, results)
		})
	}
}

// TestSurplusResponseToACallerThatLeaves checks the requests of other callers while a caller leaves before a surplus response
// or the answer comes. It guards against a connection that carries on with the responses of the abandoned request.
func TestSurplusResponseToACallerThatLeaves(t *testing.T) {
	rows := map[string]behaviour{
		"surplus 50 ms late":  before(0, framed, surplus{status: 503, cut: 100, delay: 50 * time.Millisecond}),
		"answer 100 ms late":  before(100*time.Millisecond, framed, refusalOf(503)),
		"surplus after 20 ms": after(20*time.Millisecond, framed, refusalOf(503)),
		"two pieces":          before(0, twoPieces, refusalOf(421)),
	}
	for name, row := range rows {
		for path, method := range map[string]string{pathUnsafe: http.MethodGet, pathStream: http.MethodPost} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				runs := newRunCounter()
				env := newTestEnv(t, newFakeServer(t, "a", running(runs, row)))
				var results []callResult
				for n := range 20 {
					p := &plannedCall{method: method, path: path}
					if n%3 == 2 {
						p.patience = 10 * time.Millisecond
					}
					results = append(results, env.callNext(results, p))
				}
				checkReplies(t, runs, results)
			})
		}
	}
}

// acceptTime is how long a stopping gateway accepts connections.
const acceptTime = 2500 * time.Millisecond

// TestSurplusResponsesDuringAStop checks requests until a stopping gateway accepts no more connections. It guards against a stop
// that refuses requests which servers run, or leaves them without an answer.
func TestSurplusResponsesDuringAStop(t *testing.T) {
	rows := map[string]behaviour{
		"refusal before":          before(0, framed, refusalOf(503)),
		"real answer 100 ms late": before(100*time.Millisecond, framed, refusalOf(503)),
		"refusal after 20 ms":     after(20*time.Millisecond, framed, refusalOf(503)),
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const callers = 3
			runs := newRunCounter()
			env := newTestEnv(t, newFakeServer(t, "a", running(runs, row)))
			var running sync.WaitGroup
			results := make([][]callResult, callers)
			unanswered, ends := make([]callResult, callers), make([]time.Time, callers)
			began := time.Now()
			for i := range callers {
				running.Go(func() {
					for n := i * 100_000; ; n++ {
						p := &plannedCall{id: requestID(n), method: http.MethodPost, path: []string{pathUnsafe, pathStream}[n%2]}
						r := env.call(p)
						if r.reply.status == 0 {
							unanswered[i], ends[i] = r, time.Now()
							return
						}
						results[i] = append(results[i], r)
					}
				})
			}
			assert.NilError(t, <-env.stop(20*time.Second))
			running.Wait()
			checkReplies(t, runs, slices.Concat(results...))
			for i, r := range unanswered {
				assert.Assert(t, ends[i].Sub(began) >= acceptTime, "%s after %v: %v", r.id, ends[i].Sub(began), r.reply.err)
				assert.Equal(t, runs.count(r.id), 0, "%s: %v", r.id, r.reply.err)
			}
		})
	}
}

// TestConnectionsToHealthyServers checks how many connections requests cost that come one after the other. It guards against
// a check of responses that closes the connections of answers and of true refusals. Only a request that meets the connection
// again that has carried it costs another one.
func TestConnectionsToHealthyServers(t *testing.T) {
	tests := map[string]struct {
		servers int
		refusal []string
		// refusals is how many sends of every twentieth request are refused, bound the number of connections to all servers.
		refusals, bound int
	}{
		"answered":                      {servers: 1, bound: 1},
		"answered by two":               {servers: 2, bound: 2},
		"refused once, sent to another": {servers: 2, refusals: 1, bound: 2},
		"refused once, sent there again after a pause": {servers: 1, refusals: 1, refusal: []string{names.RetryAfter + ": 0.2"}, bound: 1 + 10},
		"refused and passed on":                        {servers: 1, refusals: 10, bound: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			sends := make(map[string]int)
			respond := func(c *call) bool {
				mu.Lock()
				n := 0
				_, _ = fmt.Sscanf(c.id(), "request-%d", &n)
				sends[c.id()]++
				refuses := n%20 == 0 && sends[c.id()] <= test.refusals
				mu.Unlock()
				if refuses {
					c.write(c.head(http.StatusServiceUnavailable, append(test.refusal, names.NotRun+": 1", "Content-Length: 0")...))
					return true
				}
				return c.writeFramed(http.StatusOK, framing(n%2))
			}
			var list []*fakeServer
			for i := range test.servers {
				list = append(list, newFakeServer(t, fmt.Sprint("s", i), respond))
			}
			env := newTestEnvWith(t, func(s *config.Gateway) { s.IdleTimeout = config.Duration(time.Minute) }, list...)
			env.awaitServers(test.servers)
			for n := range 200 {
				r := env.do(env.requestOnce(t.Context(), methods[n%len(methods)], pathUnsafe, "", requestID(n)))
				refused := n%20 == 0 && test.refusals > 1
				assert.Equal(t, r.status == http.StatusServiceUnavailable, refused, "request %d: %d %s", n, r.status, r.body)
				assert.Assert(t, refused || r.status == http.StatusOK, "request %d: %d %s", n, r.status, r.body)
			}
			conns := 0
			for _, server := range list {
				conns += server.connections()
			}
			assert.Assert(t, conns <= test.bound, "%d connections, want at most %d", conns, test.bound)
		})
	}
}

// connections returns the number of connections that the server has accepted.
func (server *fakeServer) connections() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns)
}
