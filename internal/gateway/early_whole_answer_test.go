package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An earlyKeeper is a server that responds before it has read a request's body, and reads the body and further requests on the
// same connection later.
type earlyKeeper struct {
	*fakeServer

	mu sync.Mutex
	// foreign holds the bytes that were neither a body as it was sent nor a request.
	foreign []string
}

func newEarlyKeeper(t *testing.T, respond func(c *call)) *earlyKeeper {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	k := &earlyKeeper{fakeServer: &fakeServer{t: t, id: "a", addr: l.Addr().String(), listener: l}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(conn, respond)
		}
	}()
	return k
}

// serve reads requests until the connection ends.
func (k *earlyKeeper) serve(conn net.Conn, respond func(c *call)) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			k.report(fmt.Sprint("no request: ", err))
			return
		}
		respond(&call{Request: req, conn: conn})
		time.Sleep(20 * time.Millisecond)
		body, err := io.ReadAll(req.Body)
		if rest := strings.Trim(string(body), "u"); rest != "" {
			k.report(fmt.Sprintf("body with %.40q", rest))
		}
		if err != nil {
			return
		}
	}
}

func (k *earlyKeeper) report(what string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.foreign = append(k.foreign, what)
}

// TestFramedResponseDuringUpload checks that a whole response with a length or in chunks reaches the caller although the upload
// is not finished, that an early refusal is believed, and that no other bytes come in place of the rest of the upload.
func TestFramedResponseDuringUpload(t *testing.T) {
	tests := map[string]struct {
		path    string
		respond func(c *call)
		status  int
		body    string
	}{
		"with a length": {pathUnsafe, func(c *call) { c.write(c.head(200, "Content-Length: 4"), "fine") }, http.StatusOK, "fine"},
		"in chunks":     {pathUnsafe, func(c *call) { c.write(c.head(200, "Transfer-Encoding: chunked"), chunk("fine"), lastChunk) }, http.StatusOK, "fine"},
		"empty":         {pathUnsafe, func(c *call) { c.write(c.head(200, "Content-Length: 0")) }, http.StatusOK, ""},
		"stream":        {pathStream, func(c *call) { c.write(c.streamHead(), event(1), event(2), lastChunk) }, http.StatusOK, textEvents(1, 2)},
		"refusal": {pathUnsafe, func(c *call) {
			c.write(c.head(503, names.NotRun+": 1", names.RetryAfter+": 30", "Content-Length: 0"))
		}, http.StatusServiceUnavailable, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newEarlyKeeper(t, test.respond)
			env := newUploadEnv(t, k.fakeServer)
			for i := range 20 {
				size := uploadSize >> (2 * (i % 5))
				got := env.post(test.path, strings.Repeat("u", size), names.RequestID, requestID(i))
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, test.status, "%d bytes: %s", size, got.body)
				if test.status == http.StatusOK {
					assert.Equal(t, got.body, test.body)
				}
			}
			env.client.CloseIdleConnections()
			k.mu.Lock()
			defer k.mu.Unlock()
			assert.Equal(t, len(k.foreign), 0, "%v", k.foreign)
		})
	}
}
