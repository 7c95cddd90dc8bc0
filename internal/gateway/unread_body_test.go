package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusalDoesNotWaitForTheBody checks that a request that is refused by its header gets its response although its body does
// not come, and that the gateway then ends the connection.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	const (
		limit   = 10_000
		patient = 10 * time.Second
	)
	tests := map[string]struct {
		path, header string
		status       int
	}{
		"no such route, a short body":    {path: "/none/", header: names.RequestID + ": id-1\r\nContent-Length: 100", status: http.StatusNotFound},
		"no such route, a longer body":   {path: "/none/", header: names.RequestID + ": id-1\r\nContent-Length: 100000", status: http.StatusNotFound},
		"no such route, a body in parts": {path: "/none/", header: names.RequestID + ": id-1\r\nTransfer-Encoding: chunked", status: http.StatusNotFound},
		"no request id":                  {path: pathUnsafe, header: "Content-Length: 100", status: http.StatusBadRequest},
		"a body over the limit":          {path: pathUnsafe, header: fmt.Sprint(names.RequestID+": id-1\r\nContent-Length: ", limit+1), status: http.StatusRequestEntityTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, newFakeServer(t, "a", respond(http.StatusOK, "yes")))
			env.routing.Version, env.routing.Limits.BodyBytes = 2, limit
			env.putConfig()
			conn, err := net.Dial("tcp", env.front)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(patient)))
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n", test.path, host, test.header)
			reader := bufio.NewReader(conn)
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, test.status)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err)
			_, err = reader.ReadByte()
			assert.Equal(t, err, io.EOF)
		})
	}
}
