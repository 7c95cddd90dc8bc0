package intake

import "time"

const (
	// rateWindow is the time over which rates are measured. It is several times the period of a processor quota.
	rateWindow = 300 * time.Millisecond
	// rateBuckets is the number of parts of rateWindow whose events are counted separately.
	rateBuckets = 10
)

// A rateCounter measures the rate of events over rateWindow.
type rateCounter struct {
	counts [rateBuckets]int
	// last is the number of the bucket of the last event, counted from time zero.
	last int64
}

func (c *rateCounter) add(now time.Time) {
	c.advance(now)
	c.counts[c.last%rateBuckets]++
}

// perSecond returns the rate of events per second.
func (c *rateCounter) perSecond(now time.Time) float64 {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return float64(sum) / rateWindow.Seconds()
}

// advance clears the buckets that are older than rateWindow.
func (c *rateCounter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(rateWindow/rateBuckets)
	if bucket-c.last >= rateBuckets {
		clear(c.counts[:])
		c.last = bucket
	}
	for ; c.last < bucket; c.last++ {
		c.counts[(c.last+1)%rateBuckets] = 0
	}
}
