package lease_test

import (
	"context"
	"fmt"
	"time"

	"rockcleat/clock/clocktest"
	"rockcleat/kv/kvtest"
	"rockcleat/lease"
)

// Two processes contend for one lease. The second acquires it, with a higher token, after the first
// has released it.
func Example() {
	ctx := context.Background()
	c := clocktest.New(time.Unix(1000, 0))
	store := kvtest.New(c)
	holder := func(name string) *lease.Holder {
		return lease.New(store, c, lease.Options{Name: "placer", Holder: name, TTL: 3 * time.Second})
	}
	a, b := holder("a"), holder("b")
	_ = a.Step(ctx)
	_ = b.Step(ctx)
	first, held := a.Held()
	fmt.Println("a holds it:", held)
	_, held = b.Held()
	fmt.Println("b holds it:", held, "- it is", b.OtherHolder().Holder+"'s")
	_ = a.Release(ctx)
	_ = b.Step(ctx)
	second, held := b.Held()
	fmt.Println("b holds it:", held, "- higher token:", second > first)
	// Output:
	// a holds it: true
	// b holds it: false - it is a's
	// b holds it: true - higher token: true
}
