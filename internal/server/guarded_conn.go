package server

import (
	"net"
	"sync"
	"time"

	"rockcleat/intake"
)

// States of a guardedConn.
const (
	// connNew: no request has been read yet.
	connNew = iota
	// connActive: a request is being served.
	connActive
	// connIdle: the connection waits for another request, of which a part may have been read.
	connIdle
	// connRefused: a request was refused before its header was complete.
	connRefused
)

// A guardedConn counts what is read of headers.
type guardedConn struct {
	net.Conn
	guard *Guard

	mu    sync.Mutex
	state int
	// since is the time at which the state was entered.
	since time.Time
	head  intake.Head
}

// Read implements net.Conn. It refuses a request whose header holds more than it may; later reads fail too, since bufio.Reader asks
// again after an error that came with the part of a line.
func (c *guardedConn) Read(p []byte) (int, error) {
	if c.isRefused() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	verdict := c.count(p[:n])
	if verdict == intake.HeadsTooMany {
		c.guard.makeHeadRoom(c)
		verdict = c.holdHead()
	}
	if refusal, ok := RefusalOf(verdict); ok {
		c.setState(connRefused)
		refusal.Write(c.Conn)
		return 0, net.ErrClosed
	}
	return n, err
}

// holdHead counts the header again, which has found no memory before.
func (c *guardedConn) holdHead() intake.HeadVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Hold()
}

func (c *guardedConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == connRefused
}

// count counts bytes of a header.
func (c *guardedConn) count(p []byte) intake.HeadVerdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connActive || len(p) == 0 {
		return intake.HeadFits
	}
	return c.head.Add(p, maxHeader)
}

// setState sets the state. A header is counted until its request has ended.
func (c *guardedConn) setState(state int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != connRefused {
		c.state = state
	}
	c.since = time.Now()
	if state == connIdle {
		c.head.Release()
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	c.head.Release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// wait returns what the connection waits for its client to send.
func (c *guardedConn) wait() intake.OpenConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := intake.OpenConn{Since: c.since, Held: c.head.Held()}
	switch {
	case c.state == connNew, c.state == connIdle && w.Held > 0:
		w.Wait = intake.WaitRequest
	case c.state == connIdle:
		w.Wait = intake.WaitNext
	}
	return w
}
