package kv_test

import (
	"context"
	"fmt"
	"time"

	"rockcleat/clock/clocktest"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
)

// A rowPrinter prints the rows that it follows and cancels after the first change.
type rowPrinter struct {
	store *kvtest.Store
	end   context.CancelFunc
}

// Replace implements kv.Follower. It changes a row, so that Apply is called.
func (p rowPrinter) Replace(entries []kv.Entry) {
	for _, e := range entries {
		fmt.Printf("listed %s: %s\n", e.Key, e.Value)
	}
	p.store.Set("rows/hint", []byte("weight 5"))
}

// Apply implements kv.Follower.
func (p rowPrinter) Apply(events []kv.Event) {
	for _, e := range events {
		fmt.Printf("changed %s: %s\n", e.Entry.Key, e.Entry.Value)
	}
	p.end()
}

// Unreachable and Reachable implement kv.Follower.
func (p rowPrinter) Unreachable(error) {}
func (p rowPrinter) Reachable()        {}

func ExampleFollow() {
	store := kvtest.New(clocktest.Real{})
	store.Set("rows/hint", []byte("weight 1"))
	ctx, end := context.WithCancel(context.Background())
	kv.Follow(ctx, kv.FollowOptions{
		Store: store, Prefix: "rows/", Round: time.Second, Clock: clocktest.Real{}, Follower: rowPrinter{store: store, end: end},
	})
	// Output:
	// listed rows/hint: weight 1
	// changed rows/hint: weight 5
}
