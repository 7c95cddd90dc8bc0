package gateway_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// writeWithoutEnd returns a responder that writes begin, and then repeated until the connection is closed.
func writeWithoutEnd(begin, repeated string) responder {
	return func(c *call) bool {
		many := strings.Repeat(repeated, 4096/len(repeated))
		for _, err := c.conn.Write([]byte(begin)); err == nil; {
			_, err = c.conn.Write([]byte(many))
		}
		return false
	}
}

// peakHeap returns a function that returns by how much the heap has grown at most since the call.
func peakHeap(t *testing.T) (growth func() uint64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	start, peak := m.HeapAlloc, m.HeapAlloc
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for ticker := time.NewTicker(10 * time.Millisecond); ; {
			select {
			case <-stop:
				ticker.Stop()
				return
			case <-ticker.C:
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapAlloc)
			}
		}
	}()
	return func() uint64 {
		close(stop)
		<-stopped
		return peak - start
	}
}

// TestHeadsWithoutEndDoNotUseUpTheMemory guards against a gateway that holds the heads that a server sends without end, and
// against callers that wait for such a head until their deadline.
func TestHeadsWithoutEndDoNotUseUpTheMemory(t *testing.T) {
	const (
		callers  = 120
		deadline = 1500 * time.Millisecond
		// maxGrowth is half the memory of the smallest VM.
		maxGrowth = 72 << 20
	)
	tests := map[string]struct{ begin, repeated string }{
		"no status line":  {repeated: "x"},
		"header lines":    {begin: "HTTP/1.1 200 OK\r\n", repeated: "X-More: some\r\n"},
		"of a refusal":    {begin: "HTTP/1.1 503 Service Unavailable\r\nX-Unrun: 1\r\n", repeated: "X-More: some\r\n"},
		"informational":   {repeated: "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
		"one header line": {begin: "HTTP/1.1 200 OK\r\nX-More: ", repeated: "some "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endless := newFakeServer(t, "a", writeWithoutEnd(test.begin, test.repeated))
			sound := newFakeServer(t, "b", respond(http.StatusOK, "yes"))
			env := newTestEnv(t, endless, sound)
			for _, x := range []*fakeServer{endless, sound} {
				env.putRecord(backend.Server{ID: x.id, Service: "app", Addr: x.addr, Hall: "h", Slots: 1000})
			}
			env.awaitServers(2)
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
			defer client.CloseIdleConnections()
			growth := peakHeap(t)
			replies := make([]reply, callers)
			var wait sync.WaitGroup
			for i := range callers {
				wait.Go(func() {
					request := env.request(http.MethodPost, pathUnsafe, "", names.Deadline, fmt.Sprint(deadline.Milliseconds()))
					request.Header.Set(names.RequestID, fmt.Sprint("id-", i))
					began := time.Now()
					replies[i] = doWith(client, request)
					if d := time.Since(began); d > deadline+500*time.Millisecond {
						t.Errorf("caller %d got its response after %s", i, d)
					}
				})
			}
			wait.Wait()
			grown := growth()
			answered, lost := 0, 0
			for i, r := range replies {
				assert.NilError(t, r.err)
				switch r.status {
				case http.StatusOK:
					answered++
				case http.StatusBadGateway, http.StatusGatewayTimeout:
					lost++
				default:
					t.Errorf("request %d: status %d, %s", i, r.status, r.body)
				}
			}
			t.Logf("heap grown by %d MB, %d answered, %d lost", grown>>20, answered, lost)
			assert.Assert(t, endless.count() > 0 && answered > 0)
			assert.Equal(t, answered, sound.count())
			assert.Assert(t, grown <= maxGrowth, "the heap has grown by %d MB", grown>>20)
		})
	}
}
