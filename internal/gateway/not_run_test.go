package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
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

// newUnacceptingServer returns a server whose machine leaves further connection requests unanswered.
func newUnacceptingServer(t *testing.T, id string) *fakeServer {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	local, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	addr := fmt.Sprint("127.0.0.1:", local.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return &fakeServer{t: t, id: id, addr: addr}
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// TestRequestThatReachedNoServerInTimeHasNotRun checks that a request whose time ends while it waits for a connection does not
// count as one that may have run.
func TestRequestThatReachedNoServerInTimeHasNotRun(t *testing.T) {
	for name, path := range map[string]string{"plain": pathUnsafe, "stream": pathStream} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, newUnacceptingServer(t, "a"))
			got := env.post(path, "", names.Deadline, "150")
			assert.Equal(t, got.status, http.StatusServiceUnavailable, got.body)
			assert.Assert(t, strings.Contains(got.body, "not run"), got.body)
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
