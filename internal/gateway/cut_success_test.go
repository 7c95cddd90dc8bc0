package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFailureBehindACutSuccess guards against a failure that reaches its caller as a success: net/http reads it with the status of an
// earlier request's success that was cut, and with its own fields and body.
func TestFailureBehindACutSuccess(t *testing.T) {
	for name, success := range map[string]surplus{
		"id last": {status: http.StatusOK, cut: 100, idLast: true}, "without an id": {status: http.StatusOK, cut: 100, naming: namesNone},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var failed sync.Map
			cut := 0
			env := newTestEnv(t, newFakeServer(t, "a", running(newRunCounter(), func(c *call, earlier string) bool {
				if earlier == "" {
					return c.writeFramed(http.StatusOK, framed)
				}
				failed.Store(c.id(), true)
				text := success.text(earlier, c.id())
				cut = min(cut+1, len(text))
				c.write(text[:cut])
				return c.writeFramed(http.StatusInternalServerError, framed)
			})))
			for i := range 2 * len(success.text(requestID(100), "")) {
				got := env.post(pathUnsafe, "", names.RequestID, requestID(i))
				_, isFailure := failed.Load(requestID(i))
				assert.Check(t, !isFailure || got.status != http.StatusOK, "request %d: cut after %d bytes", i, cut)
			}
		})
	}
}
