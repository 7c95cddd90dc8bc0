package gateway

import (
	"time"

	"go.uber.org/zap"
)

// Noticing that the process was paused. Chosen, not measured.
const (
	// pauseCheckInterval is the time between two checks.
	pauseCheckInterval = 500 * time.Millisecond
	// maxCheckInterval is the time between two checks beyond which the process was paused.
	maxCheckInterval = 1500 * time.Millisecond
)

// A pauseDetector logs when the whole process was paused: all that it knew was as old as
// that, and requests in progress have waited for as long.
type pauseDetector struct {
	log        *zap.Logger
	inProgress func() int64
	last       time.Time
}

// check is called every pauseCheckInterval.
func (p *pauseDetector) check(now time.Time) {
	last := p.last
	p.last = now
	if !last.IsZero() && now.Sub(last) > maxCheckInterval {
		p.log.Warn("process paused", zap.Duration("for", now.Sub(last)), zap.Int64("requests", p.inProgress()))
	}
}
