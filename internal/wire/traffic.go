package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// A TrafficCounter counts the bytes that connections carry, HTTP headers included. The zero value is ready to
// use. It is safe for concurrent use.
type TrafficCounter struct {
	bytes    atomic.Int64
	segments atomic.Int64
}

// segmentOverhead approximates the bytes that each read or write adds on the wire: the TCP and IP headers
// of one segment and of its acknowledgement.
const segmentOverhead = 2 * 52

// WireBytes returns the number of bytes sent and received, with an allowance for TCP and IP headers
// and acknowledgements.
func (t *TrafficCounter) WireBytes() int64 { return t.bytes.Load() + segmentOverhead*t.segments.Load() }

// count adds one read or write of n bytes.
func (t *TrafficCounter) count(n int) {
	t.bytes.Add(int64(n))
	if n > 0 {
		t.segments.Add(1)
	}
}

// DialContext returns a dial function for d whose connections are counted.
func (t *TrafficCounter) DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: c, traffic: t}, nil
	}
}

// WrapListener wraps l so that the connections it accepts are counted.
func (t *TrafficCounter) WrapListener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *TrafficCounter
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
	traffic *TrafficCounter
}

// NetConn returns the connection whose bytes are counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.count(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.count(n)
	return n, err
}

// CloseWrite ends the sending direction, if the connection has one of its own.
func (c *countedConn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return conn.CloseWrite()
}
