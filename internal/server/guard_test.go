package server_test

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

	"rockcleat/intake"
	"rockcleat/internal/server"
)

// testTimeout bounds the waits of these tests.
const testTimeout = 10 * time.Second

// startGuarded starts a server that responds to each request with "yes", and returns its address.
func startGuarded(t *testing.T, headerMemory int64, maxOpen int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	g := server.NewGuard(intake.NewHeadMemory(headerMemory), maxOpen)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "yes") })}
	g.Protect(s)
	go func() { _ = s.Serve(g.Wrap(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// dial connects to addr, with the timeout for all that follows.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

// status reads a response and returns its status.
func status(t *testing.T, r *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode
}

const ordinary = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func TestGuardedRequests(t *testing.T) {
	const memory = 1 << 20
	header := func(text string) string { return "GET / HTTP/1.1\r\nHost: a\r\n" + text }
	tests := map[string]struct {
		sent []string
		want []int
		// stays reports whether the connection serves another request afterwards.
		stays bool
	}{
		"ordinary":             {sent: []string{ordinary}, want: []int{200}, stays: true},
		"large, one by one":    {sent: []string{header("X: " + strings.Repeat("x", 60<<10) + "\r\n\r\n"), ordinary}, want: []int{200, 200}, stays: true},
		"too large":            {sent: []string{header("X: " + strings.Repeat("x", 70<<10))}, want: []int{431}},
		"too large, later":     {sent: []string{ordinary, header("X: " + strings.Repeat("x", 70<<10))}, want: []int{200, 431}},
		"too many short lines": {sent: []string{header(strings.Repeat("a:\r\n", 5000))}, want: []int{503}},
		"a short body that does not come": {
			sent: []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"}, want: []int{200},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, reader := dial(t, startGuarded(t, memory, 0))
			for i, text := range test.sent {
				_, err := io.WriteString(conn, text)
				assert.NilError(t, err)
				assert.Equal(t, status(t, reader), test.want[i])
			}
			if test.stays {
				_, err := io.WriteString(conn, ordinary)
				assert.NilError(t, err)
				assert.Equal(t, status(t, reader), 200)
				return
			}
			_, err := reader.ReadByte()
			assert.Assert(t, err != nil)
		})
	}
}

// TestGuardedConnectionsMakeRoom checks that connections which are kept do not keep out others.
func TestGuardedConnectionsMakeRoom(t *testing.T) {
	const maxOpen = 32
	addr := startGuarded(t, 0, maxOpen)
	for i := range 3 * maxOpen {
		conn, reader := dial(t, addr)
		_, err := fmt.Fprint(conn, ordinary)
		assert.NilError(t, err)
		assert.Equal(t, status(t, reader), 200, "connection %d", i)
	}
}

// TestGuardedHeadersMakeRoom checks that incomplete headers that hold the memory do not keep out a complete one.
func TestGuardedHeadersMakeRoom(t *testing.T) {
	const memory = 130_000
	addr := startGuarded(t, memory, 0)
	large := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 200)
	first, firstReader := dial(t, addr)
	second, _ := dial(t, addr)
	for _, conn := range []net.Conn{first, second} {
		_, err := io.WriteString(conn, large)
		assert.NilError(t, err)
	}
	for range 3 {
		third, reader := dial(t, addr)
		_, err := io.WriteString(third, large+"\r\n")
		assert.NilError(t, err)
		assert.Equal(t, status(t, reader), 200)
		_ = third.Close()
	}
	_, err := firstReader.ReadByte()
	assert.Assert(t, err != nil, "one that holds memory is ended")
}
