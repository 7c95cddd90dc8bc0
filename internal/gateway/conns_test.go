package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
