package ledger_test

import (
	"errors"
	"fmt"
	"time"

	"rockcleat/ledger"
)

// Memory is reserved from before an order is sent until the server reports it as finished.
func Example() {
	now := time.Unix(1000, 0)
	var l ledger.Ledger
	l.Settle(ledger.Report{MemoryMiB: []int{100}}, now)
	load := ledger.Intent{ID: "1", Op: ledger.OpLoad, Name: "draft", MemoryMiB: 60, Until: now.Add(time.Minute)}
	fmt.Println(l.Reserve(load))
	other := ledger.Intent{ID: "2", Op: ledger.OpLoad, Name: "hint", MemoryMiB: 60, Until: now.Add(time.Minute)}
	fmt.Println(errors.Is(l.Reserve(other), ledger.ErrNoMemory))
	l.Settle(ledger.Report{MemoryMiB: []int{100}, Finished: []string{"1"}}, now)
	fmt.Println(l.Reserve(other))
	// Output:
	// <nil>
	// true
	// <nil>
}
