package responseconn_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/responseconn"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	s, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(); s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// A layer is a connection around another one.
type layer struct{ net.Conn }

func (l layer) NetConn() net.Conn { return l.Conn }

// TestRead checks that the end of a connection is an error unless the server has ended its data, also if a write has got the
// error of the reset.
func TestRead(t *testing.T) {
	// writeUntilError writes until the connection fails, so that the error does not reach a read.
	writeUntilError := func(t *testing.T, c net.Conn) {
		assert.NilError(t, c.SetWriteDeadline(time.Now().Add(10*time.Second)))
		for {
			if _, err := c.Write(make([]byte, 64<<10)); err != nil {
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
				return
			}
		}
	}
	reset := func(s *net.TCPConn) error { return errors.Join(s.SetLinger(0), s.Close()) }
	tests := map[string]struct {
		end    func(s *net.TCPConn) error
		before func(t *testing.T, c net.Conn)
		wrap   func(c net.Conn) net.Conn
		want   error
	}{
		"reset, seen by a write":          {end: reset, before: writeUntilError, want: syscall.ECONNRESET},
		"reset, seen by a write, wrapped": {end: reset, before: writeUntilError, wrap: func(c net.Conn) net.Conn { return layer{c} }, want: syscall.ECONNRESET},
		"reset, seen by the read":         {end: reset, want: syscall.ECONNRESET},
		"closed":                          {end: (*net.TCPConn).Close, want: io.EOF},
		"closed for writing":              {end: (*net.TCPConn).CloseWrite, want: io.EOF},
		"closed for writing, written to after": {end: (*net.TCPConn).CloseWrite, want: io.EOF, before: func(t *testing.T, c net.Conn) {
			_, err := c.Write([]byte("more"))
			assert.NilError(t, err)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, s := connect(t)
			_, err := io.WriteString(s, "part")
			assert.NilError(t, err)
			if test.wrap == nil {
				test.wrap = func(c net.Conn) net.Conn { return c }
			}
			conn := responseconn.New(test.wrap(c))
			buf := make([]byte, 100)
			n, err := conn.Read(buf)
			assert.NilError(t, err)
			assert.Equal(t, string(buf[:n]), "part")
			assert.NilError(t, test.end(s))
			if test.before != nil {
				test.before(t, conn)
			}
			_, err = conn.Read(buf)
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
		})
	}
}

// TestEndDuringRequest checks what a read returns at the end of the peer's data while a request is written.
func TestEndDuringRequest(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	tests := map[string]struct {
		received string
		// then is called while the read waits; nil if it does not wait.
		then func(c *responseconn.Conn)
		want error
	}{
		"then written whole":    {received: head, then: func(c *responseconn.Conn) { c.EndRequest(nil) }, want: io.EOF},
		"then failed":           {received: head, then: func(c *responseconn.Conn) { c.EndRequest(io.ErrClosedPipe) }, want: syscall.ECONNRESET},
		"then closed":           {received: head, then: func(c *responseconn.Conn) { _ = c.Close() }, want: syscall.ECONNRESET},
		"before the response":   {want: io.EOF},
		"in the middle of head": {received: head[:10], want: io.EOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			c := responseconn.New(client)
			c.BeginRequest()
			_, err := io.WriteString(server, test.received)
			assert.NilError(t, err)
			assert.NilError(t, server.CloseWrite())
			ended := make(chan error, 1)
			go func() {
				_, err := readInPieces(c, 100)
				ended <- err
			}()
			if test.then != nil {
				select {
				case err := <-ended:
					t.Fatalf("the read has not waited: %v", err)
				case <-time.After(50 * time.Millisecond):
				}
				test.then(c)
			}
			err = <-ended
			if test.want == io.EOF {
				assert.NilError(t, err)
				return
			}
			assert.ErrorIs(t, err, test.want)
		})
	}
}
