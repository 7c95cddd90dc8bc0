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

// Parameters of a Sink.
const (
	// sinkCapacity is the capacity of a Sink's buffer, in bytes.
	sinkCapacity = 256 << 10
	// sinkBatchDelay is how long the first line of a batch waits for further ones.
	sinkBatchDelay = 200 * time.Millisecond
	// sinkCloseTimeout bounds the wait for the last write in Close.
	sinkCloseTimeout = 200 * time.Millisecond
)

// A Sink buffers log lines and writes them from one goroutine, so that a blocked writer never blocks the
// logging goroutines. Lines that do not fit into the buffer are dropped and counted; the count is written
// with the next batch. A Sink is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// NewSink returns a Sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers a line or drops it. It never blocks on the output and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isClosing() || len(s.buf)+len(line) > sinkCapacity {
		s.dropped++
		return len(line), nil
	}
	if len(s.buf) == 0 {
		s.signal()
	}
	s.buf = append(s.buf, line...)
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing: lines are written in the background.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the count was last written.
func (s *Sink) Dropped() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Close writes the buffered lines and waits up to sinkCloseTimeout for that. It must be called only once.
func (s *Sink) Close() {
	s.mu.Lock()
	close(s.closing)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(sinkCloseTimeout):
	}
}

// signal wakes run. It does not block.
func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the buffered lines in batches until Close.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case <-s.wake:
			s.awaitBatch()
			s.flush()
		case <-s.closing:
			s.flush()
			return
		}
	}
}

// flush writes the buffered lines. An error is ignored, because there is nowhere to report it.
func (s *Sink) flush() { _, _ = s.out.Write(s.drain()) }

// awaitBatch waits for further lines of the batch.
func (s *Sink) awaitBatch() {
	timer := time.NewTimer(sinkBatchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
	}
}

func (s *Sink) isClosing() bool {
	select {
	case <-s.closing:
		return true
	default:
		return false
	}
}

// drain empties the buffer and returns its content, followed by the count of dropped lines if there are any.
func (s *Sink) drain() []byte {
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

// NewSinkLogger returns a logger that writes JSON lines to s.
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
