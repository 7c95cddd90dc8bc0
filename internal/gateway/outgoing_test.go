package gateway_test

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadersSentToServers checks which headers reach servers, for first sends, retries and resumed streams: reserved
// and hop-by-hop headers are dropped, others are forwarded.
func TestHeadersSentToServers(t *testing.T) {
	reset := func(c *call) bool { return c.reset() }
	cutAfterFirst := func(c *call) bool { c.write(c.streamHead(), event(1)); return false }
	// In each case, lastEvents holds the Last-Event-Id values of all sends, sorted; callers send 7.
	tests := map[string]struct {
		path       string
		play       responder
		priority   string
		lastEvents []string
	}{
		"plain server":         {path: pathUnsafe, play: respond(http.StatusOK, "x"), lastEvents: []string{"7"}},
		"plain server, again":  {path: pathSafe, play: firstThen(reset, respond(http.StatusOK, "x")), lastEvents: []string{"7", "7"}},
		"resumed stream":       {path: pathResume, play: firstThen(cutAfterFirst, stream(2)), lastEvents: []string{"1", "7"}},
		"engine":               {path: pathModel, play: stream(2), priority: "1", lastEvents: []string{"7"}},
		"engine, refused once": {path: pathModel, play: firstThen(refuse, stream(2)), priority: "1", lastEvents: []string{"7", "7"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := []*fakeServer{newFakeServer(t, "a", test.play), newFakeServer(t, "b", test.play)}
			env := newTestEnvWithoutConfig(t)
			for _, x := range servers {
				if test.path == pathModel {
					env.putEngine(x, "m1")
				} else {
					env.putServer(x, false)
				}
			}
			env.putConfig()
			env.awaitReady(http.StatusOK)
			env.awaitServers(len(servers))
			got := env.post(test.path, "x",
				names.Model, "m1", names.Tokens, "100,10", names.Priority, "0", names.Expect, "z",
				"X-Hold", "h-1", "x-pin", "4000", "Keep-Alive", "timeout=5", "Connection", "X-Once", "X-Once", "1",
				"Last-Event-Id", "7", "Length-Hint", "9", "X-Other", "kept")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			var lastEvents []string
			for _, x := range servers {
				for i := range x.count() {
					h := x.call(i).Header
					for _, dropped := range []string{"X-Hold", "X-Pin", "Keep-Alive", "Connection", "X-Once"} {
						assert.Equal(t, h.Get(dropped), "", dropped)
					}
					assert.Equal(t, h.Get(names.Priority), test.priority)
					assert.Equal(t, h.Get(names.Expect), x.id)
					assert.Equal(t, h.Get(names.Model), "m1")
					assert.Equal(t, h.Get("Length-Hint"), "9")
					assert.Equal(t, h.Get("X-Other"), "kept")
					lastEvents = append(lastEvents, h.Get("Last-Event-Id"))
				}
			}
			slices.Sort(lastEvents)
			assert.DeepEqual(t, lastEvents, test.lastEvents)
		})
	}
}
