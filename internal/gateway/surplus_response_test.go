package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// isPromise reports whether a status tells the caller that its request has not run and never will.
func isPromise(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// A runCounter counts how often servers run each request. It is safe for concurrent use.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func newRunCounter() *runCounter { return &runCounter{runs: make(map[string]int)} }

func (r *runCounter) record(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[c.Header.Get(names.RequestID)]++
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// check checks what callers rely on: a request that may not be repeated runs at most once, and not at all if it was
// refused with a promise.
func (r *runCounter) check(t *testing.T, id string, got reply) {
	t.Helper()
	assert.Assert(t, r.count(id) <= 1, "request %s ran %d times", id, r.count(id))
	assert.Assert(t, !isPromise(got.status) || r.count(id) == 0, "request %s ran and got status %d: %s", id, got.status, got.body)
}

// previousCalls remembers the IDs of the calls on each connection. It is safe for concurrent use.
type previousCalls struct {
	mu  sync.Mutex
	ids map[net.Conn][]string
}

func newPreviousCalls() *previousCalls { return &previousCalls{ids: make(map[net.Conn][]string)} }

// add adds a call and returns the IDs of the earlier ones on its connection.
func (p *previousCalls) add(c *call) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.ids[c.conn]
	p.ids[c.conn] = append(slices.Clone(before), c.Header.Get(names.RequestID))
	return before
}

// surplusHead returns the head of a response without a body that names the given requests.
func surplusHead(status int, more string, ids ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, id := range ids {
		text += names.RequestID + ": " + id + "\r\n"
	}
	return text + more + "Content-Length: 0\r\n\r\n"
}

// answer sends the complete response to a call: a stream to one for a stream, and a body otherwise.
func answer(c *call) bool {
	if strings.HasPrefix(c.URL.Path, pathStream) {
		return stream(2)(c)
	}
	return respond(http.StatusOK, "answer")(c)
}

// surplusThenAnswer returns a responder that runs all calls. Before its response to a call that is not the first on its
// connection, it sends a surplus response to the first one.
func surplusThenAnswer(runs *runCounter, surplus func(earlier string) string) responder {
	calls := newPreviousCalls()
	return func(c *call) bool {
		runs.record(c)
		if before := calls.add(c); len(before) > 0 {
			c.write(surplus(before[0]))
		}
		return answer(c)
	}
}

const notRunLine = "X-Unrun: 1\r\n"

// surplusRefusals are refusals that do not belong to the request after which they arrive.
var surplusRefusals = map[string]func(earlier string) string{
	"503":                 func(id string) string { return surplusHead(503, notRunLine, id) },
	"429":                 func(id string) string { return surplusHead(429, notRunLine, id) },
	"421":                 func(id string) string { return surplusHead(421, "", id) },
	"503 without an ID":   func(string) string { return surplusHead(503, notRunLine) },
	"421 without an ID":   func(string) string { return surplusHead(421, "") },
	"503 with two IDs":    func(id string) string { return surplusHead(503, notRunLine, id, "id-2") },
	"503 in another case": func(string) string { return surplusHead(503, notRunLine, "ID-2") },
	"503 after 102": func(id string) string {
		return "HTTP/1.1 102 Processing\r\n\r\n" + surplusHead(503, notRunLine, id)
	},
	"503, chunked": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", names.RequestID, id, notRunLine)
	},
	"two of them": func(id string) string { return surplusHead(503, notRunLine, id) + surplusHead(503, notRunLine, id) },
}

// TestSurplusRefusalDoesNotRefuseTheNextRequest checks that a refusal of an earlier request, which arrives in place of the
// response to the next one, neither makes the gateway send that one again nor promise that it has not run.
func TestSurplusRefusalDoesNotRefuseTheNextRequest(t *testing.T) {
	paths := map[string]struct{ method, path, body string }{
		"plain": {http.MethodPost, pathUnsafe, ""}, "body": {http.MethodPost, pathUnsafe, strings.Repeat("x", 3000)},
		"GET": {http.MethodGet, pathUnsafe, ""}, "stream": {http.MethodPost, pathStream, "prompt"},
	}
	for surplus, head := range surplusRefusals {
		for name, request := range paths {
			for servers := range 2 {
				t.Run(fmt.Sprint(surplus, "/", name, "/", servers+1, " servers"), func(t *testing.T) {
					t.Parallel()
					runs := newRunCounter()
					responder := surplusThenAnswer(runs, head)
					list := []*fakeServer{newFakeServer(t, "a", responder), newFakeServer(t, "b", responder)}[:servers+1]
					env := newTestEnv(t, list...)
					env.awaitServers(len(list))
					for i := range 6 {
						id := fmt.Sprint("id-", i+1)
						got := env.do(env.request(request.method, request.path, request.body, names.RequestID, id))
						runs.check(t, id, got)
						assert.Assert(t, runs.count(id) > 0 || got.status == http.StatusOK, "request %s did not run: %d %s", id, got.status, got.body)
					}
				})
			}
		}
	}
}

// TestServerStaysInUseAfterSurplusMisdirection checks that a surplus 421 does not make the gateway believe that another
// server has the address.
func TestServerStaysInUseAfterSurplusMisdirection(t *testing.T) {
	runs := newRunCounter()
	server := newFakeServer(t, "a", surplusThenAnswer(runs, surplusRefusals["421"]))
	env := newTestEnv(t, server)
	for i := range 4 {
		id := fmt.Sprint("id-", i+1)
		got := env.post(pathUnsafe, "", names.RequestID, id)
		assert.Equal(t, runs.count(id), 1, "request %s: %d %s", id, got.status, got.body)
	}
}

// TestRepeatedRefusalDoesNotRunARequestTwice checks that a request that its server has refused is not taken for refused
// again when a second copy of that refusal arrives after it was sent to that server once more.
func TestRepeatedRefusalDoesNotRunARequestTwice(t *testing.T) {
	for name, path := range map[string]string{"plain": pathUnsafe, "stream": pathStream} {
		t.Run(name, func(t *testing.T) {
			runs := newRunCounter()
			calls := newPreviousCalls()
			var refused sync.Map
			env := newTestEnv(t, newFakeServer(t, "a", func(c *call) bool {
				id := c.Header.Get(names.RequestID)
				before := calls.add(c)
				if _, again := refused.LoadOrStore(id, true); !again {
					c.write(c.head(503, names.NotRun+": 1", names.RetryAfter+": 0.05", "Content-Length: 0"))
					return true
				}
				runs.record(c)
				if slices.Contains(before, id) {
					c.write(c.head(503, names.NotRun+": 1", names.RetryAfter+": 0.05", "Content-Length: 0"))
				}
				return answer(c)
			}))
			for i := range 3 {
				id := fmt.Sprint("id-", i+1)
				got := env.post(path, "", names.RequestID, id)
				runs.check(t, id, got)
				assert.Equal(t, got.status, http.StatusOK, got.body)
			}
		})
	}
}

// TestStatusOfARunIsNoPromise checks that a server's own status does not reach the caller if it promises that the request
// has not run, and the server has not said so.
func TestStatusOfARunIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, path := range map[string]string{"plain": pathUnsafe, "repeatable": pathSafe, "stream": pathStream, "resumable": pathResume} {
			t.Run(fmt.Sprint(status, "/", name), func(t *testing.T) {
				runs := newRunCounter()
				env := newTestEnv(t, newFakeServer(t, "a", func(c *call) bool {
					runs.record(c)
					return respond(status, "failed")(c)
				}))
				got := env.post(path, "")
				assert.Assert(t, runs.count("id-1") > 0)
				assert.Assert(t, !isPromise(got.status), "status %d: %s", got.status, got.body)
				assert.Equal(t, got.header.Get(names.Signature), "", "the status is not the server's")
			})
		}
	}
}

// TestConnectionWithForeignResponseCarriesNoFurtherRequest checks that a connection on which a response without a body to
// another request came is closed: the response to the next request on it would be that of this one.
func TestConnectionWithForeignResponseCarriesNoFurtherRequest(t *testing.T) {
	calls := newPreviousCalls()
	var mu sync.Mutex
	afterSurplus := 0
	env := newTestEnv(t, newFakeServer(t, "a", func(c *call) bool {
		before := calls.add(c)
		if len(before) == 1 {
			c.write(surplusHead(503, notRunLine, before[0]))
			time.Sleep(20 * time.Millisecond)
		}
		if len(before) > 1 {
			mu.Lock()
			afterSurplus++
			mu.Unlock()
		}
		return answer(c)
	}))
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			for j := range 20 {
				env.post(pathUnsafe, "", names.RequestID, fmt.Sprint("id-", i, "-", j))
			}
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, afterSurplus, 0, "requests on a connection after a response to another request")
}

// TestRefusalWithoutEndDoesNotHoldTheRequest checks that a request goes elsewhere at once if the body of its refusal does not
// end.
func TestRefusalWithoutEndDoesNotHoldTheRequest(t *testing.T) {
	bodies := map[string]string{
		"too short": "Content-Length: 10\r\n\r\nfull", "chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", "without length": "\r\nfull",
	}
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			runs := newRunCounter()
			refuse := func(c *call) bool {
				c.write(strings.TrimSuffix(c.head(503, names.NotRun+": 1"), "\r\n"), body)
				<-c.gone
				return false
			}
			respond := firstThen(refuse, func(c *call) bool {
				runs.record(c)
				return answer(c)
			})
			env := newTestEnv(t, newFakeServer(t, "a", respond), newFakeServer(t, "b", respond))
			env.awaitServers(2)
			start := time.Now()
			got := env.post(pathUnsafe, "")
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, runs.count("id-1"), 1)
			assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
		})
	}
}
