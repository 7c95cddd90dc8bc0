package wire

import (
	"context"
	"errors"
	"syscall"
	"time"

	"rockcleat/clock"
)

// Finding out whether a server has ended.
const (
	// connectTimeout bounds an attempt to connect.
	connectTimeout = 300 * time.Millisecond
	// connectPause is the pause between two attempts: a process that ends closes what it has open one after
	// the other.
	connectPause = 100 * time.Millisecond
	// ConnectAttempts is the number of attempts.
	ConnectAttempts = 2
)

// A ProbeResult is what a probe of a server has found out.
type ProbeResult int

// The results of a probe.
const (
	// ServerUnknown: there was no answer in time.
	ServerUnknown ProbeResult = iota
	// ServerLives: it takes connections.
	ServerLives
	// ServerEnded: nobody listens at its address.
	ServerEnded
)

// A Probe finds out whether a server lives, by connecting to it.
type Probe struct {
	Clock clock.Service
	// Connect connects to an address and closes the connection; TryConnect does.
	Connect func(ctx context.Context, addr string) error
	// BeforeAttempt, if not nil, is called before each attempt.
	BeforeAttempt func()
}

// Run tries to connect to an address until it is refused, and returns the result of the last attempt.
func (p Probe) Run(ctx context.Context, addr string) (result ProbeResult) {
	for i := range ConnectAttempts {
		if i > 0 {
			clock.Sleep(ctx, p.Clock, connectPause)
		}
		if p.BeforeAttempt != nil {
			p.BeforeAttempt()
		}
		result = p.attempt(ctx, addr)
		if result == ServerEnded {
			break
		}
	}
	return result
}

func (p Probe) attempt(ctx context.Context, addr string) ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	err := p.Connect(ctx, addr)
	switch {
	case err == nil:
		return ServerLives
	case errors.Is(err, syscall.ECONNREFUSED):
		return ServerEnded
	}
	return ServerUnknown
}

// TryConnect connects to an address and closes the connection at once.
func TryConnect(ctx context.Context, addr string) error {
	conn, err := NewDialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}
