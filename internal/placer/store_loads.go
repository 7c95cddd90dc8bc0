package placer

import (
	"time"

	"golang.org/x/time/rate"

	"rockcleat/table"
)

// Limits of loads from the weight store. The store permits 1.1 times its rate over any five seconds, and
// three more loads. The limits are lower, because orders that engines carry out late can coincide with
// others.
const (
	// storeRateShare is the fraction of the store's rate that is used.
	storeRateShare = 0.8
	// storeBurst is the number of loads that may start at once.
	storeBurst = 2
)

// A storeLoadLimiter limits how many loads from the weight store start. All services share one store.
//
// The zero value must not be used before setRate. The limiter then starts empty, unless startFull is set.
type storeLoadLimiter struct {
	startFull bool
	limiter   *rate.Limiter
}

// setRate sets the store's rate to the lowest among the services. A new limiter starts to fill at the
// previous step, so that the time before the leader has settled does not count.
func (s *storeLoadLimiter) setRate(services []table.Service, previous, now time.Time) {
	limit := rate.Inf
	for _, x := range services {
		if x.Engine != nil {
			limit = min(limit, rate.Limit(storeRateShare*x.Engine.LoadsPerSecond))
		}
	}
	if s.limiter != nil {
		s.limiter.SetLimitAt(now, limit)
		return
	}
	s.limiter = rate.NewLimiter(limit, storeBurst)
	if !s.startFull {
		s.limiter.AllowN(previous, storeBurst)
	}
}

// available returns the number of loads that may start now.
func (s *storeLoadLimiter) available(now time.Time) int { return int(s.limiter.TokensAt(now)) }

// allow reports whether a load may start now, and counts it if so.
func (s *storeLoadLimiter) allow(now time.Time) bool { return s.limiter.AllowN(now, 1) }
