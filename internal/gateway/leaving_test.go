package gateway_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// leavingHeader is the header of a server that announces that it is leaving.
var leavingHeader = names.Leaving + ": 1"

// failStore makes all calls to the store fail.
func (env *testEnv) failStore() {
	env.store.Fail(func(string) error { return errors.New("store unreachable") })
}

// TestNoRequestsAfterServerAnnouncesLeaving checks that a server gets no further requests from a gateway after a
// response in which it announces that it is leaving, while the store is unreachable.
func TestNoRequestsAfterServerAnnouncesLeaving(t *testing.T) {
	complete := func(status int) responder {
		return func(c *call) bool {
			c.write(c.head(status, leavingHeader, "Content-Length: 2"), "ok")
			return true
		}
	}
	tests := map[string]struct {
		path  string
		leave responder
	}{
		"success":      {path: pathUnsafe, leave: complete(http.StatusOK)},
		"client error": {path: pathUnsafe, leave: complete(http.StatusConflict)},
		"server error": {path: pathSafe, leave: complete(http.StatusInternalServerError)},
		"refusal": {path: pathUnsafe, leave: func(c *call) bool {
			c.write(c.head(http.StatusServiceUnavailable, leavingHeader, names.NotRun+": 1", "Content-Length: 0"))
			return true
		}},
		"head of a stream": {path: pathStream, leave: func(c *call) bool {
			c.write(c.head(200, leavingHeader, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"), event(1), lastChunk)
			return true
		}},
		"incomplete body": {path: pathSafe, leave: func(c *call) bool {
			c.write(c.head(http.StatusOK, leavingHeader, "Content-Length: 20"), "ok")
			return false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := newFakeServer(t, "a", test.leave)
			b := newFakeServer(t, "b", respond(http.StatusOK, "ok"))
			env := newTestEnv(t, a, b)
			env.awaitServers(2)
			env.failStore()
			_ = env.post(test.path, "first")
			assert.Equal(t, a.count(), 1)
			for i := range 5 {
				got := env.post(pathUnsafe, fmt.Sprint("body ", i))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, http.StatusOK)
			}
			assert.Equal(t, a.count(), 1, "requests reached a server that is leaving")
		})
	}
}
