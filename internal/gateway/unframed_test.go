package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// unframed returns a responder whose response has neither a length nor chunks and ends with its connection, which is
// closed, or reset if reset is set.
func unframed(proto, body string, reset bool) responder {
	return func(c *call) bool {
		c.write(strings.Replace(c.head(http.StatusOK, "Content-Type: text/event-stream"), "HTTP/1.1", proto, 1), body)
		if reset {
			return c.reset()
		}
		return false
	}
}

// textEvents returns events without chunks.
func textEvents(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		_, text, _ := strings.Cut(event(i), "\r\n")
		b.WriteString(strings.TrimSuffix(text, "\r\n"))
	}
	return b.String()
}

// TestResponseThatEndsWithItsConnection checks that a response with neither a length nor chunks is complete if its
// connection is closed, and broken off if it is reset or ends within an event.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	broken := textEvents(1, 2) + "id: 3\ndata: pie"
	tests := map[string]struct {
		path    string
		respond responder
		// want is the body that the caller gets; it is broken off if complete is not set.
		want     string
		complete bool
		calls    int
	}{
		"plain":                        {path: pathUnsafe, respond: unframed("HTTP/1.1", "fine", false), want: "fine", complete: true, calls: 1},
		"plain, by HTTP/1.0":           {path: pathUnsafe, respond: unframed("HTTP/1.0", "fine", false), want: "fine", complete: true, calls: 1},
		"plain, empty":                 {path: pathUnsafe, respond: unframed("HTTP/1.1", "", false), complete: true, calls: 1},
		"stream":                       {path: pathStream, respond: unframed("HTTP/1.1", textEvents(1, 3), false), want: textEvents(1, 3), complete: true, calls: 1},
		"stream, by HTTP/1.0":          {path: pathStream, respond: unframed("HTTP/1.0", textEvents(1, 3), false), want: textEvents(1, 3), complete: true, calls: 1},
		"stream that ends in an event": {path: pathStream, respond: unframed("HTTP/1.1", broken, false), want: textEvents(1, 2), calls: 1},
		"stream whose last event has no empty line": {
			path: pathStream, respond: unframed("HTTP/1.1", strings.TrimSuffix(textEvents(1, 3), "\n"), false), want: textEvents(1, 2), calls: 1,
		},
		"resumable stream that ends in an event": {
			path: pathResume, respond: firstThen(unframed("HTTP/1.1", broken, false), unframed("HTTP/1.1", textEvents(3, 4), false)),
			want: textEvents(1, 4), complete: true, calls: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeServer(t, "a", test.respond), newFakeServer(t, "b", test.respond)
			env := newTestEnv(t, a, b)
			env.awaitServers(2)
			got := env.post(test.path, "x")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, test.want)
			assert.Equal(t, got.err == nil, test.complete, "%v", got.err)
			assert.Equal(t, a.count()+b.count(), test.calls)
			assert.Equal(t, env.logs.FilterMessage("server ended").Len(), 0, "the end of a connection is no crash")
			if test.complete {
				assert.Equal(t, got.closes, false, "the caller's connection stays open")
				assert.Equal(t, env.logs.FilterMessage("send failed").Len(), test.calls-1)
			}
		})
	}
}

// TestUnframedResponseThatIsReset checks that a response with neither a length nor chunks does not look complete if its
// connection is reset.
func TestUnframedResponseThatIsReset(t *testing.T) {
	for name, path := range map[string]string{"plain": pathUnsafe, "stream": pathStream} {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", unframed("HTTP/1.1", textEvents(1, 2), true))
			env := newTestEnv(t, server)
			got := env.post(path, "x")
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "it looks complete: %d %q", got.status, got.body)
		})
	}
}

// TestUnframedResponseIsLogged checks that the line about a request tells that its response ended with its connection, and
// whether a write on that connection failed.
func TestUnframedResponseIsLogged(t *testing.T) {
	tests := map[string]struct {
		respond  responder
		unframed bool
	}{
		"with a length":     {respond: respond(http.StatusOK, "fine")},
		"in chunks":         {respond: stream(2)},
		"by its connection": {respond: unframed("HTTP/1.1", "fine", false), unframed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, newFakeServer(t, "a", test.respond))
			assert.Equal(t, env.post(pathUnsafe, "").status, http.StatusOK)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				lines := env.logs.FilterMessage("request ended").All()
				if len(lines) == 0 {
					return poll.Continue("no line")
				}
				fields := lines[0].ContextMap()
				if _, ok := fields["unframed"]; ok != test.unframed {
					return poll.Error(fmt.Errorf("fields: %v", fields))
				}
				return poll.Success()
			})
		})
	}
}
