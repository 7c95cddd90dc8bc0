package gateway

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"rockcleat/clock"
	"rockcleat/intake"
)

// connTaken is the result of a connection that is served, as used in metrics.
const connTaken = "taken"

// minLoggedPeak is the number of pending requests from which a second is logged.
const minLoggedPeak = 8

// A connIntake counts callers' new connections and the requests that are pending. It is safe for concurrent use.
type connIntake struct {
	limiter *intake.Limiter
	clock   clock.Service
	log     *requestLog
	// cores is the processor that the VM has, in cores; 0 if it is not known.
	cores float64
	// taken counts the connections since the last call of observe.
	taken atomic.Int64

	// The following fields are used by observe only.

	// observedAt is the time of the last call, processorTime the processor time that the process had used then.
	observedAt    time.Time
	processorTime time.Duration
}

// accept decides about a new connection.
func (i *connIntake) accept() {
	i.taken.Add(1)
	i.log.metrics.ConnectionAccepted(connTaken)
}

// observe updates the metrics, and logs the time since the last call if many requests were pending. It is called every
// sweepInterval.
func (i *connIntake) observe(now time.Time) {
	used := processorTime()
	elapsed := now.Sub(i.observedAt)
	last := i.processorTime
	i.observedAt, i.processorTime = now, used
	peak, taken := i.limiter.TakePeak(), i.taken.Swap(0)
	i.log.metrics.IntakeObserved(peak, (used - last).Seconds())
	if peak < minLoggedPeak || elapsed <= 0 {
		return
	}
	i.log.log.Info(msgConnections, zap.Int64(fieldCount, taken), zap.Int(fieldPending, peak),
		zap.Float64(fieldPerSecond, i.limiter.HandedOnRate(now)), zap.Float64(fieldTotal, elapsed.Seconds()),
		zap.Float64(fieldProcessorUsed, (used-last).Seconds()/elapsed.Seconds()), zap.Float64(fieldCores, i.cores))
}

// processorTime returns the processor time that the process has used so far; 0 if it is not known.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
