package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rockcleat/internal/config"
)

// Bounds of a Sink.
const (
	// sinkBytes is what a Sink holds at most.
	sinkBytes = 256 << 10
	// sinkEvery is how long a line waits to be written with others.
	sinkEvery = 200 * time.Millisecond
	// sinkCloseTime bounds the last writing.
	sinkCloseTime = 200 * time.Millisecond
)

// A Sink takes log lines, holds a bounded number of bytes and writes them from
// one goroutine, so that a writer that blocks never blocks who logs. Lines that
// find no room are dropped and counted, and the count is written when there is room.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	ended   chan struct{}
}

// NewSink returns a Sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line or drops it; it never blocks on the output and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || len(s.buf)+len(line) > sinkBytes {
		s.dropped++
		return len(line), nil
	}
	if len(s.buf) == 0 {
		s.signal()
	}
	s.buf = append(s.buf, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written by and by.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last count was written.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes what is held, if the output takes it in time; it is called once.
func (s *Sink) Close() {
	s.mu.Lock()
	close(s.closing)
	s.mu.Unlock()
	select {
	case <-s.ended:
	case <-time.After(sinkCloseTime):
	}
}

// signal wakes run.
func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes what is held some time after the first line of it came.
func (s *Sink) run() {
	defer close(s.ended)
	for {
		select {
		case <-s.wake:
			s.gather()
			s.write()
		case <-s.closing:
			s.write()
			return
		}
	}
}

// write writes what is held. There is nowhere left to report that it failed.
func (s *Sink) write() { _, _ = s.out.Write(s.take()) }

// gather waits for lines to be written with the first one.
func (s *Sink) gather() {
	timer := time.NewTimer(sinkEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

// isClosing reports whether Close has been called.
func (s *Sink) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// take returns what is held, with the count of dropped lines.
func (s *Sink) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buf
	s.buf = nil
	if s.dropped > 0 {
		b = fmt.Appendf(b, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.dropped)
		s.dropped = 0
	}
	return b
}

// NewSinkLogger returns a logger of JSON lines into a sink.
func NewSinkLogger(l config.Log, s *Sink, role, id string) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(l.Level)
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: log level")
	}
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.EpochMillisTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), s, level)
	return zap.New(core).With(zap.String("role", role), zap.String("vm", id)), nil
}
