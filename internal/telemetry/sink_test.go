package telemetry_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/internal/telemetry"
)

// A buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestSinkWritesLinesInOrder(t *testing.T) {
	var out buffer
	s := telemetry.NewSink(&out)
	for i := range 100 {
		fmt.Fprintf(s, "line %d\n", i)
	}
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 100)
	assert.Equal(t, lines[99], "line 99")
}

// TestSinkFullPipe checks that a blocked output does not block Write, and that the number of dropped lines
// is written once the output is read again.
func TestSinkFullPipe(t *testing.T) {
	r, w := io.Pipe()
	s := telemetry.NewSink(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 2000 {
		n, err := s.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	dropped := s.Dropped()
	assert.Assert(t, dropped > 1000, "%d dropped", dropped)
	var out buffer
	go func() { _, _ = io.Copy(&out, r) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Another line wakes the sink after the blocked write.
		_, _ = s.Write([]byte("after\n"))
		if strings.Contains(out.String(), "log lines dropped") && strings.Contains(out.String(), "after") {
			return poll.Success()
		}
		return poll.Continue("count not told yet")
	})
	s.Close()
	assert.NilError(t, w.Close())
}

// TestSinkConcurrentWrites checks that lines written concurrently are not interleaved.
func TestSinkConcurrentWrites(t *testing.T) {
	var out buffer
	s := telemetry.NewSink(&out)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 2000 {
				_, _ = s.Write([]byte("a line of the storm that is about as long as others are\n"))
			}
		})
	}
	wg.Wait()
	s.Close()
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		intact := line == "a line of the storm that is about as long as others are"
		assert.Assert(t, intact || strings.Contains(line, "log lines dropped"), "broken line %q", line)
	}
}
