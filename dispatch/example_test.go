package dispatch_test

import (
	"context"
	"fmt"
	"time"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// Two requests go to the two servers of a service. The third goes to the server whose request has
// ended.
func Example() {
	c := clocktest.New(time.Unix(1000, 0))
	var servers backend.Registry
	servers.Replace([]backend.Server{
		{ID: "a", Service: "checks", Hall: "kita", Slots: 1}, {ID: "b", Service: "checks", Hall: "kita", Slots: 1},
	}, c.Now())
	d := dispatch.New(dispatch.Options{
		ID: "gateway-1", Hall: "kita", Clock: c, Utilization: 1, CacheTokens: func(string) int { return 0 },
	})
	d.SetServers(servers.Snapshot())
	request := func() *dispatch.Request { return &dispatch.Request{Service: "checks"} }
	first, _ := d.Acquire(context.Background(), request())
	second, _ := d.Acquire(context.Background(), request())
	fmt.Println("different servers:", first.Server().ID != second.Server().ID)
	second.Done(dispatch.Answered)
	third, _ := d.Acquire(context.Background(), request())
	fmt.Println("the one that is free:", third.Server().ID == second.Server().ID)
	// Output:
	// different servers: true
	// the one that is free: true
}
