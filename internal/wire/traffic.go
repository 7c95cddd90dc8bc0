package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// A Traffic counts the bytes that connections carry, HTTP headers included and
// TCP and IP headers not.
//
// Its zero value is ready to use.
type Traffic struct {
	read    atomic.Int64
	written atomic.Int64
}

// Bytes returns the bytes read and written so far.
func (t *Traffic) Bytes() (read, written int64) { return t.read.Load(), t.written.Load() }

// Dial is a dial function whose connections are counted.
func (t *Traffic) Dial(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

// Listen returns a listener whose connections are counted.
func (t *Traffic) Listen(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.read.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.written.Add(int64(n))
	return n, err
}
