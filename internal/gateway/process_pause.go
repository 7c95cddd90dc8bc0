package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Noticing that the process was paused.
const (
	// pauseCheckInterval is the time between two checks.
	pauseCheckInterval = 500 * time.Millisecond
	// maxCheckInterval is the time between two checks beyond which the process was paused.
	maxCheckInterval = 1500 * time.Millisecond
	// pauseAftermath is for how long after a pause what breaks may have broken during it.
	pauseAftermath = time.Second
)

// A pauseDetector notices when the whole process was paused: all that it knew was as old as
// that, and requests in progress have waited for as long. It is safe for concurrent use.
type pauseDetector struct {
	log        *zap.Logger
	inProgress func() int64

	mu sync.Mutex
	// last is when the last check was made, paused when the last pause was noticed.
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

// isPause reports whether the time between two checks shows a pause.
func (p *pauseDetector) isPause(last, now time.Time) bool {
	return !last.IsZero() && now.Sub(last) > maxCheckInterval
}

// isOverdue reports whether the process was paused just now: a pause was noticed within pauseAftermath,
// or the next check is so late that it will notice one.
func (p *pauseDetector) isOverdue(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPause(p.last, now) || !p.paused.IsZero() && now.Sub(p.paused) < pauseAftermath
}
