package cli

import "math"

// Bucket bounds of a histogram, which grow exponentially from firstBound, in seconds, to several hours.
const (
	bucketGrowth = 1.1
	firstBound   = 0.001
	bucketCount  = 180
)

// A histogram counts durations. Its quantiles are upper bounds of buckets. Between firstBound and the
// last bound they exceed the exact value by a factor of at most bucketGrowth.
type histogram struct {
	counts [bucketCount]int
	total  int
}

func (h *histogram) add(seconds float64) {
	i := 0
	if seconds > firstBound {
		i = int(math.Log(seconds/firstBound)/math.Log(bucketGrowth)) + 1
	}
	h.counts[min(i, bucketCount-1)]++
	h.total++
}

// quantile returns the upper bound of the bucket that holds quantile q, in seconds, or 0 if the
// histogram is empty.
func (h *histogram) quantile(q float64) float64 {
	remaining := q * float64(h.total)
	for i, n := range h.counts {
		remaining -= float64(n)
		if n > 0 && remaining <= 0 {
			return firstBound * math.Pow(bucketGrowth, float64(i))
		}
	}
	return 0
}
