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
	// pauseEffectTime is how long after a pause a failure is still attributed to it.
	pauseEffectTime = time.Second
)

// A pauseDetector detects that the whole process was paused. After a pause its state is outdated, and connections may
// have failed because of the pause. It is safe for concurrent use.
type pauseDetector struct {
	log        *zap.Logger
	inProgress func() int64

	mu sync.Mutex
	// lastCheck is the time of the last check, lastPause that of the last detected pause.
	lastCheck, lastPause time.Time
}

// check is called every pauseCheckInterval.
func (p *pauseDetector) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastCheck
	p.lastCheck = now
	if p.isPause(last, now) {
		p.lastPause = now
		p.log.Warn("process paused", zap.Duration("for", now.Sub(last)), zap.Int64("requests", p.inProgress()))
	}
}

// isPause reports whether the time between two checks indicates a pause.
func (p *pauseDetector) isPause(last, now time.Time) bool {
	return !last.IsZero() && now.Sub(last) > maxCheckInterval
}

// wasPaused reports whether the process was paused recently: a pause was detected within pauseEffectTime, or the next
// check is late enough to detect one.
func (p *pauseDetector) wasPaused(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPause(p.lastCheck, now) || !p.lastPause.IsZero() && now.Sub(p.lastPause) < pauseEffectTime
}
