package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCutHeadIsNoResponse checks that a response whose connection ends within its head is not passed on, for a head that is cut
// behind each of its bytes.
func TestCutHeadIsNoResponse(t *testing.T) {
	heads := map[string]func(c *call) string{
		"with a length":      func(c *call) string { return c.head(http.StatusOK, "Content-Length: 10") },
		"with a length of 0": func(c *call) string { return c.head(http.StatusOK, "Content-Length: 0") },
		"in chunks":          func(c *call) string { return c.streamHead() },
		"without a length":   func(c *call) string { return c.head(http.StatusOK, "Content-Type: text/event-stream") },
		"behind 1xx":         func(c *call) string { return informational + c.head(http.StatusOK, "Content-Length: 0") },
		"lines end in line feed": func(c *call) string {
			return "HTTP/1.1 200 OK\n" + names.RequestID + ": " + c.id() + "\n" + names.Signature + ": seal\n\n"
		},
	}
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				cut := 0
				env := newTestEnv(t, newFakeServer(t, "a", func(c *call) bool {
					text := head(c)
					c.write(text[:min(cut, len(text)-1)])
					return reset && c.reset()
				}))
				for cut = range 200 {
					for _, path := range []string{pathUnsafe, pathStream} {
						got := env.post(path, "", names.RequestID, fmt.Sprintf("id-%04d%s", cut, path[1:3]))
						assert.Equal(t, got.status, http.StatusBadGateway, "cut after %d bytes: %q", cut, got.body)
					}
				}
			})
		}
	}
}
