package intake

import "time"

// windowBuckets is the number of parts of a window whose events are counted separately.
const windowBuckets = 10

// A windowCounter counts the events of the last window.
type windowCounter struct {
	window time.Duration
	counts [windowBuckets]int
	// last is the number of the bucket of the last event, counted from time zero.
	last int64
}

func (c *windowCounter) add(now time.Time) {
	c.advance(now)
	c.counts[c.last%windowBuckets]++
}

// count returns the number of events in the last window.
func (c *windowCounter) count(now time.Time) int {
	c.advance(now)
	sum := 0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// perSecond returns the rate of events per second.
func (c *windowCounter) perSecond(now time.Time) float64 {
	return float64(c.count(now)) / c.window.Seconds()
}

// advance clears the buckets that are older than the window.
func (c *windowCounter) advance(now time.Time) {
	bucket := now.UnixNano() / int64(c.window/windowBuckets)
	if bucket-c.last >= windowBuckets {
		clear(c.counts[:])
		c.last = bucket
	}
	for ; c.last < bucket; c.last++ {
		c.counts[(c.last+1)%windowBuckets] = 0
	}
}
