package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestCallerThatDoesNotRead checks that the request of a caller that does not read its response ends soon after its
// deadline, so that the gateway holds nothing for the caller any more.
func TestCallerThatDoesNotRead(t *testing.T) {
	const (
		// size is more than the buffers of both connections hold.
		size     = 64 << 20
		deadline = 300 * time.Millisecond
		// within bounds the time until the end.
		within = 3 * time.Second
	)
	tests := map[string]struct {
		path string
		head func(c *call) string
		part string
	}{
		"plain response": {path: pathSafe, head: func(c *call) string { return c.head(200, fmt.Sprintf("Content-Length: %d", size)) }, part: strings.Repeat("x", 1<<16)},
		"stream":         {path: pathStream, head: (*call).streamHead, part: strings.Repeat(event(1), 1000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", func(c *call) bool {
				c.write(test.head(c))
				for sent := 0; sent < size; sent += len(test.part) {
					if _, err := io.WriteString(c.conn, test.part); err != nil {
						break
					}
				}
				return false
			})
			env := newTestEnv(t, server)
			conn, err := net.Dial("tcp", env.front)
			assert.NilError(t, err)
			defer conn.Close()
			began := time.Now()
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\n%s: %d\r\n\r\n", test.path, host, names.RequestID, names.Deadline, deadline.Milliseconds())
			ended := func(poll.LogT) poll.Result {
				if env.logs.FilterMessage("request ended").Len() == 0 {
					return poll.Continue("the request is still in progress")
				}
				return poll.Success()
			}
			poll.WaitOn(t, ended, poll.WithTimeout(within))
			assert.Assert(t, time.Since(began) > deadline)
		})
	}
}
