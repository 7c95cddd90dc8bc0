package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
)

// uploadSize is the size of a body that does not fit into the buffers of a connection, in bytes.
const uploadSize = 8 << 20

// newEarlyServer returns a server that responds to each request before it reads the body.
func newEarlyServer(t *testing.T, id string, respond func(c *call)) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					respond(&call{Request: req, conn: conn})
				}
			}()
		}
	}()
	return &fakeServer{t: t, id: id, addr: l.Addr().String(), listener: l}
}

// newUploadEnv starts a gateway that accepts requests with a body of uploadSize.
func newUploadEnv(t *testing.T, servers ...*fakeServer) *testEnv {
	env := prepareTestEnv(t, func(*config.Gateway) {}, servers...)
	env.routing.Limits.BodyBytes = uploadSize
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitServers(len(servers))
	return env
}

// An earlyEnd ends the connection on which a response was written.
type earlyEnd func(c *call)

// resetDuringUpload resets the connection while the request's body is written.
func resetDuringUpload(c *call) {
	time.Sleep(5 * time.Millisecond)
	c.reset()
}

// closeUnread closes the connection with unread data, so that the kernel resets it.
func closeUnread(*call) { time.Sleep(5 * time.Millisecond) }

// closeThenReset ends the server's side of the connection while all that has arrived is read, and resets it later.
func closeThenReset(c *call) {
	tcp := c.conn.(*net.TCPConn)
	_ = tcp.CloseWrite()
	_, _ = io.CopyN(io.Discard, tcp, uploadSize/2)
	c.reset()
}

// TestResponseResetDuringUpload checks that a response which ends with its connection is not complete if the connection is
// reset while the request's body is still written: the write may get the reset, and the read an end without an error.
func TestResponseResetDuringUpload(t *testing.T) {
	const (
		requests = 20
		part     = "the first part"
	)
	tests := map[string]struct {
		path, proto, body string
		end               earlyEnd
	}{
		"plain, reset":               {pathUnsafe, "HTTP/1.1", part, resetDuringUpload},
		"plain, closed unread":       {pathUnsafe, "HTTP/1.1", part, closeUnread},
		"plain, HTTP/1.0":            {pathUnsafe, "HTTP/1.0", part, resetDuringUpload},
		"plain, no body yet":         {pathUnsafe, "HTTP/1.1", "", resetDuringUpload},
		"plain, beyond the buffer":   {pathUnsafe, "HTTP/1.1", strings.Repeat("x", 300<<10), resetDuringUpload},
		"plain, closed, then reset":  {pathUnsafe, "HTTP/1.1", part, closeThenReset},
		"stream, closed, then reset": {pathStream, "HTTP/1.1", textEvents(1, 2), closeThenReset},
		"repeatable, reset":          {pathSafe, "HTTP/1.1", part, resetDuringUpload},
		"stream, reset":              {pathStream, "HTTP/1.1", textEvents(1, 2), resetDuringUpload},
		"stream, closed unread":      {pathStream, "HTTP/1.1", textEvents(1, 2), closeUnread},
		"resumable stream, reset":    {pathResume, "HTTP/1.1", textEvents(1, 2), resetDuringUpload},
		"stream, reset before event": {pathStream, "HTTP/1.1", "", resetDuringUpload},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			respond := func(c *call) {
				c.write(strings.Replace(c.head(http.StatusOK), "HTTP/1.1", test.proto, 1), test.body)
				test.end(c)
			}
			env := newUploadEnv(t, newEarlyServer(t, "a", respond), newEarlyServer(t, "b", respond))
			upload := strings.Repeat("u", uploadSize)
			complete := 0
			for i := range requests {
				if got := env.post(test.path, upload, names.RequestID, fmt.Sprint("id-", i)); got.status == http.StatusOK && got.err == nil {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "of %d responses that were reset look complete", requests)
		})
	}
}

// TestWholeResponseDuringUpload checks that a response which ends with its connection is complete if the server sends all of
// it, ends its side of the connection and reads on.
func TestWholeResponseDuringUpload(t *testing.T) {
	env := newUploadEnv(t, newEarlyServer(t, "a", func(c *call) {
		c.write(c.head(http.StatusOK), "fine")
		_ = c.conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c.conn)
	}))
	for i := range 20 {
		got := env.post(pathUnsafe, strings.Repeat("u", uploadSize), names.RequestID, fmt.Sprint("id-", i))
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, got.body, "fine")
	}
}
