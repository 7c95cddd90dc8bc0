package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatuses are status codes of no final response.
var invalidStatuses = []string{"000", "001", "007", "099", "101", "-00", "+00", "+20", "-20", "00", "0", "0200", "20", "2OO", ""}

// TestInvalidStatusIsNoResponse checks that a response with an invalid status is not passed on, and that the caller learns that
// its request may have run, unless it may be repeated.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	paths := map[string]int{
		pathUnsafe: http.StatusBadGateway, pathStream: http.StatusBadGateway, pathSafe: http.StatusOK, pathResume: http.StatusOK,
	}
	for _, status := range invalidStatuses {
		for path, want := range paths {
			for _, marked := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q%s marked %v", status, path, marked), func(t *testing.T) {
					t.Parallel()
					mark := ""
					if marked {
						mark = notRunLine
					}
					first := func(c *call) bool {
						body := payload(c.id())
						c.write(fmt.Sprintf("HTTP/1.1 %s Status\r\n%s: %s\r\n%s: seal\r\n%sContent-Length: %d\r\n\r\n%s",
							status, names.RequestID, c.id(), names.Signature, mark, len(body), body))
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
