package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// A closable is a connection that remembers that it was closed.
type closable struct {
	net.Conn
	closed bool
}

func (c *closable) Close() error {
	c.closed = true
	return nil
}

func TestConnections(t *testing.T) {
	const idle, header = 10 * time.Second, 3 * time.Second
	tests := map[string]struct {
		follow func(c *conns, conn net.Conn)
		after  time.Duration
		closed bool
	}{
		"rests within the bound": {
			follow: func(c *conns, conn net.Conn) { c.note(conn, http.StateIdle) }, after: idle * 9 / 10,
		},
		"rests too long": {
			follow: func(c *conns, conn net.Conn) { c.note(conn, http.StateIdle) }, after: idle + time.Second, closed: true,
		},
		"header takes too long": {
			follow: func(c *conns, conn net.Conn) { c.note(conn, http.StateActive) }, after: header + time.Second, closed: true,
		},
		"request takes long": {
			follow: func(c *conns, conn net.Conn) {
				c.note(conn, http.StateActive)
				c.read(withConn(context.Background(), conn))
			}, after: time.Hour,
		},
		"closed already": {
			follow: func(c *conns, conn net.Conn) { c.note(conn, http.StateIdle); c.note(conn, http.StateClosed) }, after: time.Hour,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newConns()
			c.limits = func() (time.Duration, time.Duration) { return idle, header }
			conn := &closable{}
			test.follow(c, conn)
			c.sweep(time.Now().Add(test.after))
			assert.Equal(t, conn.closed, test.closed)
		})
	}
}

// TestRestingConnectionsWithRequests closes resting connections while on one of them a
// request has come that nobody has read yet: that one is left.
func TestRestingConnectionsWithRequests(t *testing.T) {
	c := newConns()
	rests, rested := connected(t)
	asked, asks := connected(t)
	c.note(rests, http.StateIdle)
	c.note(asked, http.StateIdle)
	_, err := asks.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !hasUnread(asked) {
			return poll.Continue("nothing has come")
		}
		return poll.Success()
	})
	assert.Assert(t, c.closeRested(), "one is left")
	_, err = rested.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	request := make([]byte, 3)
	_, err = io.ReadFull(asked, request)
	assert.NilError(t, err)
	assert.Equal(t, string(request), "GET")
	c.note(asked, http.StateActive)
	assert.Assert(t, !c.closeRested())
}

// connected returns the two ends of a connection.
func connected(t *testing.T) (server, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	client, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return server, client
}
