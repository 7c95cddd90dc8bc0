package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// respondEarly returns a function that responds to a request before it reads the body: with a part of a body that has neither a
// length nor chunks. It then calls end and resets the connection.
func respondEarly(end func(c *net.TCPConn)) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nthe first part")
		end(c)
		_ = c.SetLinger(0)
	}
}

// TestResponseResetDuringUpload checks that a response which ends with its connection is not complete if the connection is
// reset while the request's body is still written, also if the server had ended its side of it before.
func TestResponseResetDuringUpload(t *testing.T) {
	const (
		requests   = 40
		uploadSize = 8 << 20
	)
	ends := map[string]func(c *net.TCPConn){
		"reset": func(*net.TCPConn) { time.Sleep(5 * time.Millisecond) },
		"closed, then reset": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.CopyN(io.Discard, c, uploadSize/2)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			f := newBackendFixture(t, startBackend(t, respondEarly(end)).Addr().String())
			f.settings.Limits.BodyBytes = uploadSize
			upload := strings.Repeat("u", uploadSize)
			complete := 0
			for range requests {
				if f.answers(http.MethodPost, "s", upload) {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d responses that were reset look complete", requests)
		})
	}
}

// answers sends a request to the agent and reports whether it answers it with a success that looks complete.
func (f *fixture) answers(method, row, body string) (complete bool) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(fmt.Sprint(v))
		}
	}()
	return f.do(method, row, body).StatusCode == http.StatusOK
}
