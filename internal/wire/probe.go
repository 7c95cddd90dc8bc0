package wire

import (
	"context"
	"errors"
	"syscall"
	"time"

	"rockcleat/clock"
)

// Parameters of a Probe.
const (
	// connectTimeout bounds one connection attempt.
	connectTimeout = 300 * time.Millisecond
	// connectRetryDelay is the delay between two attempts. A process that exits closes its sockets one after
	// another, so its listener may still be open at the first attempt.
	connectRetryDelay = 100 * time.Millisecond
	// ConnectAttempts is the maximum number of attempts.
	ConnectAttempts = 2
)

// A ProbeResult is the result of a Probe.
type ProbeResult int

// Results of a Probe.
const (
	// ServerUnknown means that the connection attempt neither succeeded nor was refused.
	ServerUnknown ProbeResult = iota
	// ServerLives means that the server accepts connections.
	ServerLives
	// ServerEnded means that connections to the server's address are refused.
	ServerEnded
)

// A Probe determines whether a server still accepts connections.
type Probe struct {
	Clock clock.Service
	// Connect connects to an address and closes the connection, as TryConnect does.
	Connect func(ctx context.Context, addr string) error
	// BeforeAttempt, if not nil, is called before each attempt.
	BeforeAttempt func()
}

// Run makes up to ConnectAttempts attempts to connect to addr, stops when one is refused, and returns the
// result of the last one.
func (p Probe) Run(ctx context.Context, addr string) (result ProbeResult) {
	for i := range ConnectAttempts {
		if i > 0 {
			clock.Sleep(ctx, p.Clock, connectRetryDelay)
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

// TryConnect connects to addr and closes the connection.
func TryConnect(ctx context.Context, addr string) error {
	conn, err := NewDialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}
