package placer

import (
	"time"

	"golang.org/x/time/rate"

	"rockcleat/table"
)

// The rate of loads from the weight store. The store allows 1.1 times its rate in any five
// seconds and 3 loads more; both margins below are for orders that engines carry out late,
// so that loads bunch.
const (
	// storeRateShare is the part of the store's rate that is used.
	storeRateShare = 0.8
	// storeBurst is the number of loads that may begin together.
	storeBurst = 2
)

// storeLoads limits how many loads from the weight store begin. There is one store for all
// services.
//
// Its zero value allows none until setRate, and then begins with none allowed, unless
// startFull is set.
type storeLoads struct {
	startFull bool
	limiter   *rate.Limiter
}

// setRate sets the store's rate: the lowest that a service names. The limiter counts from
// the previous step on, so that no time before the leader has settled counts.
func (s *storeLoads) setRate(services []table.Service, previous, now time.Time) {
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

// available returns how many loads may begin now.
func (s *storeLoads) available(now time.Time) int { return int(s.limiter.TokensAt(now)) }

// allow counts a load that begins now and reports whether it may.
func (s *storeLoads) allow(now time.Time) bool { return s.limiter.AllowN(now, 1) }
