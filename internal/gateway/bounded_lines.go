package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// boundedLines limits the rate of one kind of log line and counts the suppressed lines. It is safe for concurrent
// use.
type boundedLines struct {
	limiter *rate.Limiter
	leftOut atomic.Uint64
}

func newBoundedLines(perSecond rate.Limit, burst int) *boundedLines {
	return &boundedLines{limiter: rate.NewLimiter(perSecond, burst)}
}

// next reports whether a line may be written now. If so, leftOut is a field with the number of lines suppressed
// since the last one.
func (b *boundedLines) next(now time.Time) (leftOut zap.Field, ok bool) {
	if !b.limiter.AllowN(now, 1) {
		b.leftOut.Add(1)
		return zap.Skip(), false
	}
	if n := b.leftOut.Swap(0); n > 0 {
		return zap.Uint64(fieldLeftOut, n), true
	}
	return zap.Skip(), true
}
