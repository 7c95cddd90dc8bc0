package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// TestBrokenResponseIsLogged checks that the line about a failed send tells how its response was broken.
func TestBrokenResponseIsLogged(t *testing.T) {
	tests := map[string]struct {
		respond responder
		// kind is nil if the response is not of a kind that is counted.
		kind any
		err  string
	}{
		"malformed head": {kind: "head", err: `invalid name of a field: "X "`, respond: func(c *call) bool {
			c.write(c.head(http.StatusOK, "X Y: 1", "Content-Length: 0"))
			return true
		}},
		"reset": {kind: "reset", err: "connection reset by peer", respond: unframed("HTTP/1.1", "part", true)},
		"cut": {err: "unexpected EOF", respond: func(c *call) bool {
			c.write(c.head(http.StatusOK, "Content-Length: 10"), "part")
			return false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, newFakeServer(t, "a", test.respond))
			assert.Equal(t, env.post(pathUnsafe, "").status, http.StatusBadGateway)
			lines := env.logs.FilterMessage("send failed").All()
			assert.Equal(t, len(lines), 1)
			fields := lines[0].ContextMap()
			assert.Equal(t, fields["kind"], test.kind)
			assert.Assert(t, is.Contains(fields["error"], test.err))
		})
	}
}
