package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/engine"
)

// startRepeatingEngine starts an engine that sends the response to each call once more before the response to the next one on
// the connection. It accepts the first order and fences the others. Its status states the number of orders as the fence.
func startRepeatingEngine(t *testing.T) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var orders atomic.Int64
	respond := func(r *http.Request) string {
		if r.Method == http.MethodGet {
			body := fmt.Sprintf(`{"fence":%d}`, orders.Load())
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		if orders.Add(1) == 1 {
			return "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRepeating(c, respond)
		}
	}()
	return "http://" + l.Addr().String()
}

// serveRepeating serves one connection.
func serveRepeating(c net.Conn, respond func(*http.Request) string) {
	defer c.Close()
	last := ""
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		response := respond(req)
		_, _ = io.WriteString(c, last+response)
		last = response
	}
}

// TestCallsGetTheirOwnResponse guards against a second response to an earlier call that is taken for the response to the next
// one: an order that was rejected would count as sent, and an old status as the present one.
func TestCallsGetTheirOwnResponse(t *testing.T) {
	c := engine.NewClient(startRepeatingEngine(t), &http.Transport{})
	assert.NilError(t, c.SendOrder(t.Context(), engine.Order{ID: "1"}))
	assert.ErrorIs(t, c.SendOrder(t.Context(), engine.Order{ID: "2"}), engine.ErrFenced)
	for want := range int64(3) {
		s, err := c.Status(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, s.Fence, want+2)
		assert.ErrorIs(t, c.SendOrder(t.Context(), engine.Order{ID: "3"}), engine.ErrFenced)
	}
}

// TestRedirectedCallsGoNowhereElse guards against an order that counts as sent because another server answers.
func TestRedirectedCallsGoNowhereElse(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			var elsewhere atomic.Int32
			other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				elsewhere.Add(1)
				w.WriteHeader(http.StatusAccepted)
			}))
			defer other.Close()
			s := httptest.NewServer(http.RedirectHandler(other.URL, status))
			defer s.Close()
			c := engine.NewClient(s.URL, &http.Transport{})
			assert.ErrorContains(t, c.SendOrder(t.Context(), engine.Order{ID: "1"}), fmt.Sprint(status))
			_, err := c.Status(t.Context())
			assert.ErrorContains(t, err, fmt.Sprint(status))
			assert.Equal(t, elsewhere.Load(), int32(0))
		})
	}
}
