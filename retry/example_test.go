package retry_test

import (
	"fmt"
	"time"

	"rockcleat/retry"
)

func ExampleWindow() {
	// Each of ten processes may use a tenth of the fixed part.
	w := retry.Window{Length: 10 * time.Second, Ratio: 0.2, Fixed: 10}
	now := time.Unix(1000, 0)
	for range 5 {
		w.First(now)
	}
	fmt.Println(w.Allow(now, 0.1), w.Allow(now, 0.1), w.Allow(now, 0.1))
	fmt.Println(w.Allow(now.Add(time.Minute), 0.1))
	// Output:
	// true true false
	// true
}
