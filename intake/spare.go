package intake

import (
	"math"
	"time"
)

const (
	// assumedCores is the processor of a process that does not know what it has, in cores. More would let a small process take
	// seconds of work at once.
	assumedCores = 1
	// minMeasured is the number of requests from which the processor time of one is measured. With fewer the work that does
	// not depend on requests would count as theirs.
	minMeasured = 16
	// costWeight is the weight of a measurement against the ones before. One garbage collection must not change much.
	costWeight = 0.25
	// pressedFraction is the fraction of the maximum delay that the pending requests of a pressed process fill at the known
	// rate. It is half of closeFraction, so that a process which is kept at that limit counts as pressed.
	pressedFraction = closeFraction / 2
	// ceilingDoubling is the time in which the ceiling of a spareRate doubles. While a load lasts that the process cannot bear,
	// it rises by a few percent until the process is pressed again; ten times as much is allowed a quarter of a minute later.
	ceilingDoubling = 5 * time.Second
)

// A Use is the processor time that a process uses.
type Use struct {
	// Processor is the processor time that was used in the time Elapsed; 0 if it is not known.
	Processor, Elapsed time.Duration
	// Cores is the processor that the process has, in cores; 0 if it is not known.
	Cores float64
}

// A spareRate estimates the rate at which a process could hand on requests with the processor that it does not use.
type spareRate struct {
	// handedOn counts requests since the last call of record.
	handedOn int
	// cost is the processor time of a request, 0 if it is not known. It stays while there are few requests.
	cost time.Duration
	// free is the processor that was not used lately, in cores.
	free float64
	// pressedSince is the time since which the process has been pressed; zero if it is not.
	pressedSince time.Time
	// ceiling limits the rate since ceilingAt, when the process was known to bear no more; there is none while ceilingAt is zero.
	ceiling   float64
	ceilingAt time.Time
}

// record measures the processor time of a request and the free processor.
func (s *spareRate) record(u Use) {
	if u.Elapsed <= 0 {
		return
	}
	cores := u.Cores
	if cores <= 0 {
		cores = assumedCores
	}
	s.free = max(cores-u.Processor.Seconds()/u.Elapsed.Seconds(), 0)
	n := s.handedOn
	s.handedOn = 0
	if n < minMeasured {
		return
	}
	measured := u.Processor / time.Duration(n)
	if s.cost == 0 {
		s.cost = measured
	}
	s.cost += time.Duration(costWeight * float64(measured-s.cost))
}

// perSecond returns the rate, 0 if it is not known.
func (s *spareRate) perSecond(now time.Time) float64 {
	if s.cost <= 0 {
		return 0
	}
	rate := s.free / s.cost.Seconds()
	if s.ceilingAt.IsZero() {
		return rate
	}
	return min(rate, s.ceiling*math.Exp2(now.Sub(s.ceilingAt).Seconds()/ceilingDoubling.Seconds()))
}

// observe records whether the process is pressed: it has many pending requests for the rate that it is known to bear. If it
// stays so for longer than maxDelay, it bears no more than that rate, which becomes the ceiling.
func (s *spareRate) observe(isPressed bool, known float64, maxDelay time.Duration, now time.Time) {
	switch {
	case !isPressed:
		s.pressedSince = time.Time{}
	case s.pressedSince.IsZero():
		s.pressedSince = now
	case now.Sub(s.pressedSince) > maxDelay:
		s.ceiling, s.ceilingAt = known, now
	}
}
