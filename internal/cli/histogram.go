package cli

import "math"

// Buckets of a histogram: their bounds grow by a tenth from a millisecond on, to some hours.
const (
	bucketGrowth = 1.1
	firstBucket  = 0.001
	buckets      = 180
)

// A histogram counts durations in seconds, with an error of a tenth.
type histogram struct {
	counts [buckets]int
	n      int
}

func (h *histogram) add(seconds float64) {
	i := 0
	if seconds > firstBucket {
		i = int(math.Log(seconds/firstBucket)/math.Log(bucketGrowth)) + 1
	}
	h.counts[min(i, buckets-1)]++
	h.n++
}

// quantile returns the upper bound of the bucket that holds a quantile; 0 without durations.
func (h *histogram) quantile(q float64) float64 {
	left := q * float64(h.n)
	for i, n := range h.counts {
		left -= float64(n)
		if n > 0 && left <= 0 {
			return firstBucket * math.Pow(bucketGrowth, float64(i))
		}
	}
	return 0
}
