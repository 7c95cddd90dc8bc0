package serverspeed_test

import (
	"fmt"
	"testing"
)

// BenchmarkObserve measures a sample at the leader.
func BenchmarkObserve(b *testing.B) {
	for _, servers := range []int{60, 215, 730, 1460} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			factors := repeat([]float64{0.6, 1, 1.6}, servers/3)
			f := newFleet(1, factors...)
			e := newEstimator()
			for i := range b.N {
				e.Observe(f.sample(i % len(factors)))
			}
		})
	}
}
