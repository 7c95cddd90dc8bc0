package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// deadServers registers n servers that refuse connections. Their IDs sort behind those of other servers.
func (env *testEnv) deadServers(n int) {
	for i := range n {
		dead := newFakeServer(env.t, fmt.Sprint("z", i), refuse)
		dead.crash()
		env.putServer(dead, false)
	}
}

// TestNotSentAfterARun checks that a request whose last sends reached no server is not refused as not run if an earlier
// send may have run, and that nothing is added to a response that has begun.
func TestNotSentAfterARun(t *testing.T) {
	// enough is more than the number of failed connections after which a request is refused.
	const enough = 8
	tests := map[string]struct {
		path  string
		first responder
		check func(t *testing.T, r reply)
	}{
		"lost": {path: pathSafe, first: (*call).reset, check: func(t *testing.T, r reply) {
			assert.Equal(t, r.status, http.StatusBadGateway)
			assert.Assert(t, !strings.Contains(r.body, "not run"), r.body)
		}},
		"response has begun": {path: pathResume, first: func(c *call) bool {
			c.write(c.streamHead(), event(1))
			return false
		}, check: func(t *testing.T, r reply) {
			assert.Assert(t, r.err != nil, "the response is incomplete")
			assert.Assert(t, !strings.Contains(r.body, "not run"), r.body)
		}},
		"not run": {path: pathSafe, first: refuse, check: func(t *testing.T, r reply) {
			assert.Equal(t, r.status, http.StatusServiceUnavailable)
			assert.Assert(t, r.header.Get("Retry-After") != "")
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnvWithoutConfig(t, newFakeServer(t, "a", test.first))
			env.deadServers(enough)
			env.putConfig()
			env.awaitReady(http.StatusOK)
			env.awaitServers(enough + 1)
			test.check(t, env.get(test.path))
		})
	}
}

// TestResponseToHead checks that the Content-Length of a response to HEAD, which has no body, is forwarded unchanged.
func TestResponseToHead(t *testing.T) {
	server := newFakeServer(t, "a", func(c *call) bool {
		c.write(c.head(http.StatusOK, "Content-Length: 7"))
		return true
	})
	env := newTestEnv(t, server)
	r := env.do(env.request(http.MethodHead, pathSafe, ""))
	assert.NilError(t, r.err)
	assert.Equal(t, r.header.Get("Content-Length"), "7")
}
