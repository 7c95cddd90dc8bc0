package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatusLines are beginnings of status lines of no final response.
var invalidStatusLines = []string{
	"HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 007", "HTTP/1.1 099", "HTTP/1.1 101", "HTTP/1.1 -00", "HTTP/1.1 +00", "HTTP/1.1 +20",
	"HTTP/1.1 -20", "HTTP/1.1 00", "HTTP/1.1 0", "HTTP/1.1 0200", "HTTP/1.1 20", "HTTP/1.1 2OO", "HTTP/1.1 ",
	"HTTP/1.1 600", "HTTP/1.1 999", "HTTP/1.1  200", "HTTP/0.9 200", "HTTP/2.0 200", "HTTP/3.0 200", "http/1.1 200", "HTTP/1.1\t200",
}

// TestInvalidStatusIsNoResponse checks that a response with an invalid status or version is not passed on, and that the caller learns that
// its request may have run, unless it may be repeated.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	paths := map[string]int{
		pathUnsafe: http.StatusBadGateway, pathStream: http.StatusBadGateway, pathSafe: http.StatusOK, pathResume: http.StatusOK,
	}
	for _, begin := range invalidStatusLines {
		for path, want := range paths {
			for _, marked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q%s marked %v", begin, path, marked), func(t *testing.T) {
					t.Parallel()
					mark := ""
					if marked {
						mark = notRunLine
					}
					first := func(c *call) bool {
						body := payload(c.id())
						c.write(fmt.Sprintf("%s Status\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s",
							begin, names.RequestID, c.id(), names.Signature, mark, len(body), body))
						return true
					}
					respond := firstThen(first, func(c *call) bool { return c.writeFramed(http.StatusOK, framed) })
					a, b := newFakeServer(t, "a", respond), newFakeServer(t, "b", respond)
					env := newTestEnv(t, a, b)
					env.awaitServers(2)
					got := env.post(path, "prompt")
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, want, got.body)
					if want != http.StatusOK {
						assert.Equal(t, a.count()+b.count(), 1)
						assert.Equal(t, got.header.Get(names.Signature), "")
					}
				})
			}
		}
	}
}
