package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Timing of the detection of process pauses.
const (
	// pauseCheckInterval is the interval of pauseDetector.check.
	pauseCheckInterval = 500 * time.Millisecond
	// maxCheckInterval is the time between two checks above which the process is considered to have been paused.
	maxCheckInterval = 1500 * time.Millisecond
	// pauseAftermath is how long after a pause failures are still attributed to it.
	pauseAftermath = time.Second
)

// A pauseDetector detects that the whole process was paused. After a pause its state is outdated, and connections may
// have failed because of the pause. It is safe for concurrent use.
type pauseDetector struct {
	log        *zap.Logger
	inProgress func() int64

	mu sync.Mutex
	// last is the time of the last check, paused that of the last detected pause.
	last, paused time.Time
}

// check is called every pauseCheckInterval.
func (p *pauseDetector) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.last
	p.last = now
	if p.isPause(last, now) {
		p.paused = now
		p.log.Warn("process paused", zap.Duration("for", now.Sub(last)), zap.Int64("requests", p.inProgress()))
	}
}

// isPause reports whether the time between two checks indicates a pause.
func (p *pauseDetector) isPause(last, now time.Time) bool {
	return !last.IsZero() && now.Sub(last) > maxCheckInterval
}

// isOverdue reports whether the process was paused recently: a pause was detected within pauseAftermath, or the next
// check is late enough to detect one.
func (p *pauseDetector) isOverdue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPause(p.last, now) || !p.paused.IsZero() && now.Sub(p.paused) < pauseAftermath
}
