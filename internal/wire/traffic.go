package wire

import (
	"context"
	"net"
	"sync/atomic"
)

// A Traffic counts the bytes that connections carry, HTTP headers included.
//
// Its zero value is ready to use.
type Traffic struct {
	bytes    atomic.Int64
	segments atomic.Int64
}

// segmentOverhead is what each read or write of a connection adds on the wire, in
// bytes: the TCP and IP headers of a segment and of its acknowledgement.
const segmentOverhead = 2 * 52

// WireBytes returns the bytes sent and received so far, with an allowance for TCP
// and IP headers and acknowledgements.
func (t *Traffic) WireBytes() int64 { return t.bytes.Load() + segmentOverhead*t.segments.Load() }

// count counts one read or write.
func (t *Traffic) count(n int) {
	t.bytes.Add(int64(n))
	if n > 0 {
		t.segments.Add(1)
	}
}

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

// A countedListener counts the bytes of the connections that it accepts.
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

// A countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

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
