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

// startBackend starts a backend server that sends a text in place of each response and then closes the connection.
func startBackend(t *testing.T, text string) net.Listener {
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
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, text)
			}()
		}
	}()
	return l
}

// TestMalformedHeadOfBackend checks that a response in whose head the name of a field is malformed is not passed on.
func TestMalformedHeadOfBackend(t *testing.T) {
	for name, line := range map[string]string{
		"blank before the name": " Content-Length: 4\r\n", "blank in the name": "Content Length: 4\r\n",
		"blank after the name": "Content-Length : 4\r\n", "line feed before the name": "\nContent-Length: 4\r\n",
		"NUL in the name": "Content\x00Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newBackendFixture(t, startBackend(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"+line+"\r\nbody").Addr().String())
			got := f.do(http.MethodPost, "s", "prompt")
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeUnknown))
		})
	}
}
