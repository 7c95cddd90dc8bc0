package backend_test

import (
	"fmt"
	"time"

	"rockcleat/backend"
)

// A Registry holds the servers of the platform's list. Its snapshots do not change.
func ExampleRegistry() {
	now := time.Unix(1000, 0)
	var r backend.Registry
	r.Replace([]backend.Server{{ID: "a", Service: "llm"}, {ID: "b", Service: "llm"}, {ID: "c", Service: "llm"}}, now)
	before := r.Snapshot()
	r.Remove("c", now)
	fmt.Println(len(before.Service("llm")), len(r.Snapshot().Service("llm")))
	// Output: 3 2
}
