package clock_test

import (
	"fmt"
	"time"

	"rockcleat/clock/clocktest"
)

func Example() {
	c := clocktest.New(time.Unix(0, 0))
	stop := c.Subscribe(time.Second, func(now time.Time) { fmt.Println("tick", now.Unix()) })
	c.Advance(2500 * time.Millisecond)
	stop()
	c.Advance(time.Minute)
	// Output:
	// tick 1
	// tick 2
}
