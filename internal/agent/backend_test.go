package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// newBackendFixture returns an agent whose backend server has the given address and serves the model "m" and the plain
// service "s".
func newBackendFixture(t *testing.T, addr string) *fixture {
	f := newFixture(t)
	f.settings.Backend.URL = "http://" + addr
	f.engine.status.Residents = []fleet.Resident{{Name: "m", State: fleet.StateReady}, {Name: "s", State: fleet.StateReady}}
	f.takeOver()
	model, service := table.NewRow("m"), table.NewRow("s")
	service.Kind, service.Path = table.KindService, "/s"
	f.replica.StoreIfNewer((&table.Table{}).Apply(table.Edit{Changes: []table.Change{{Name: "m", Row: &model}, {Name: "s", Row: &service}}}, 1))
	f.stepQueue(f.clock.Now())
	return f
}

// do sends a request for a row to the agent.
func (f *fixture) do(method, row, body string) *http.Response {
	r := httptest.NewRequest(method, "/s/x", strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+secret)
	r.Header.Set(wire.HeaderRow, row)
	w := httptest.NewRecorder()
	f.requestRouter().ServeHTTP(w, r)
	return w.Result()
}

// A repeatingBackend answers the first request with status 404 and all others with 200. It sends the response to each
// request once more before the response to the next one on the connection.
type repeatingBackend struct {
	net.Listener

	mu       sync.Mutex
	requests int
}

func startRepeatingBackend(t *testing.T) *repeatingBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	b := &repeatingBackend{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *repeatingBackend) serve(c net.Conn) {
	defer c.Close()
	last := ""
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := b.next()
		_, _ = io.WriteString(c, last+response)
		last = response
	}
}

// next returns the response to the next request.
func (b *repeatingBackend) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	if b.requests == 1 {
		return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
}

// TestSurplusResponseOfBackend guards against a second response to an earlier request that is taken for the response to the
// next one: for a model, status 404 says that the request did not run.
func TestSurplusResponseOfBackend(t *testing.T) {
	for _, row := range []string{"m", "s"} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(row+" "+method, func(t *testing.T) {
				f := newBackendFixture(t, startRepeatingBackend(t).Addr().String())
				f.do(method, row, "")
				got := f.do(method, row, "")
				assert.Equal(t, got.StatusCode, http.StatusOK)
				assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeAnswered))
			})
		}
	}
}

// TestRedirectOfBackend guards against a request that runs at its server and, by way of a redirect, elsewhere too, or that is
// refused as not run because that place cannot be reached.
func TestRedirectOfBackend(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			t.Run(fmt.Sprint(method, " ", status), func(t *testing.T) {
				closed := httptest.NewServer(nil)
				closed.Close()
				calls := 0
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls++
					http.Redirect(w, r, closed.URL, status)
				}))
				defer s.Close()
				got := newBackendFixture(t, s.Listener.Addr().String()).do(method, "s", "")
				assert.Equal(t, calls, 1)
				assert.Equal(t, got.StatusCode, status)
				assert.Equal(t, got.Header.Get("Location"), closed.URL)
				assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeAnswered))
			})
		}
	}
}

// TestNotSentAfterPauseWhileConnecting guards against a request that is sent after a pause of the process which began while the
// connection was being opened.
func TestNotSentAfterPauseWhileConnecting(t *testing.T) {
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer s.Close()
	f := newBackendFixture(t, s.Listener.Addr().String())
	dial := f.dial
	f.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.pause()
		return dial(ctx, network, addr)
	}
	got := f.do(http.MethodPost, "m", "")
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, got.Header.Get(wire.HeaderReason), string(reasonPaused))
	assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeNotRun))
	assert.Equal(t, calls, 0)
}
