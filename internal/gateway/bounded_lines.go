package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// lineLimiter limits the rate of one kind of log line and counts the suppressed lines. It is safe for concurrent
// use.
type lineLimiter struct {
	limiter    *rate.Limiter
	suppressed atomic.Uint64
}

func newLineLimiter(perSecond rate.Limit, burst int) *lineLimiter {
	return &lineLimiter{limiter: rate.NewLimiter(perSecond, burst)}
}

// allow reports whether a line may be written now. If so, suppressed is a field with the number of lines suppressed
// since the last one.
func (l *lineLimiter) allow(now time.Time) (suppressed zap.Field, ok bool) {
	if !l.limiter.AllowN(now, 1) {
		l.suppressed.Add(1)
		return zap.Skip(), false
	}
	if n := l.suppressed.Swap(0); n > 0 {
		return zap.Uint64(fieldSuppressed, n), true
	}
	return zap.Skip(), true
}
