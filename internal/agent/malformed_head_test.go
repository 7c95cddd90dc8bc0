package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// startBackend starts a backend server that passes the first request on each connection to respond, without its body, and then
// closes the connection.
func startBackend(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l
}

// respondWith returns a function that reads a request and sends a text in place of a response.
func respondWith(text string) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	}
}

// TestMalformedHeadOfBackend checks that a response in whose head the name of a field is malformed is not passed on.
func TestMalformedHeadOfBackend(t *testing.T) {
	for name, line := range map[string]string{
		"blank before the name": " Content-Length: 4\r\n", "blank in the name": "Content Length: 4\r\n",
		"blank after the name": "Content-Length : 4\r\n", "line feed before the name": "\nContent-Length: 4\r\n",
		"NUL in the name": "Content\x00Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackendFixture(t, startBackend(t, respondWith("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+line+"\r\nbody")).Addr().String())
			got := f.do(http.MethodPost, "s", "prompt")
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeUnknown))
		})
	}
}
