package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// size is the number of clients of a crowd that sends much. Each of them connects rounds times.
	size   = 160
	rounds = 2
	// holdingSize is the number of clients of a crowd that takes connections. They begin holdingInterval apart, and connect up
	// to holdingTries times until a connection stays open.
	holdingSize     = 400
	holdingTries    = 4
	holdingInterval = 5 * time.Millisecond
	// maxSent is the number of bytes that a client sends on a connection, if they are taken.
	maxSent = 4 << 20
	// connTimeout bounds how long a client waits on one connection, for each of connecting, sending and being closed.
	connTimeout = 2 * time.Second
)

// Run sends the behaviour of a crowd to addr and returns once all its clients have connected as often as they should. The last
// connection of each stays open until ctx ends.
func (b Behaviour) Run(ctx context.Context, addr string) {
	var clients sync.WaitGroup
	defer clients.Wait()
	if !b.holds {
		for range size {
			clients.Go(func() { b.send(ctx, addr) })
		}
		return
	}
	for range holdingSize {
		clients.Go(func() { b.hold(ctx, addr) })
		time.Sleep(holdingInterval)
	}
}

// send connects as often as a client of a crowd that sends much.
func (b Behaviour) send(ctx context.Context, addr string) {
	for range rounds - 1 {
		if conn, _ := b.call(ctx, addr); conn != nil {
			_ = conn.Close()
		}
	}
	if conn, _ := b.call(ctx, addr); conn != nil {
		context.AfterFunc(ctx, func() { _ = conn.Close() })
	}
}

// hold connects until a connection stays open.
func (b Behaviour) hold(ctx context.Context, addr string) {
	for range holdingTries {
		conn, closed := b.call(ctx, addr)
		if conn == nil {
			continue
		}
		if !closed {
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			return
		}
		_ = conn.Close()
	}
}

// call connects once, and returns the connection after the other side has closed it or the timeout has passed. It returns nil if
// there is none.
func (b Behaviour) call(ctx context.Context, addr string) (conn net.Conn, closed bool) {
	conn, err := net.DialTimeout("tcp", addr, connTimeout)
	if err != nil {
		return nil, false
	}
	end := make(chan struct{})
	go func() {
		defer close(end)
		if b.neverReads {
			<-ctx.Done()
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	_ = conn.SetWriteDeadline(time.Now().Add(connTimeout))
	b.write(conn)
	select {
	case <-end:
		return conn, true
	case <-time.After(connTimeout):
		return conn, false
	}
}

// write sends the beginning and the pieces, up to the bound or until the connection fails.
func (b Behaviour) write(w io.Writer) {
	most := b.most
	if most == 0 {
		most = maxSent
	}
	sent, err := io.WriteString(w, b.begin)
	for number := 0; err == nil && b.piece != "" && sent < most; {
		piece := []byte(b.piece)
		if b.numbered {
			piece = piece[:0]
			for out := bytes.NewBuffer(piece); len(piece) < blockSize; number++ {
				fmt.Fprintf(out, b.piece, number)
				piece = out.Bytes()
			}
		}
		var n int
		n, err = w.Write(piece)
		sent += n
	}
}
