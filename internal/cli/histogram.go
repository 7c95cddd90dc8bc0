package cli

import "math"

// Bucket bounds of a histogram, which grow exponentially from firstBucket, in seconds, to several hours.
const (
	bucketGrowth = 1.1
	firstBucket  = 0.001
	buckets      = 180
)

// A histogram counts durations. Its quantiles are upper bounds of buckets. Between firstBucket and the
// last bound they exceed the exact value by a factor of at most bucketGrowth.
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

// quantile returns the upper bound of the bucket that holds quantile q, in seconds, or 0 if the
// histogram is empty.
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
