package route_test

import (
	"fmt"
	"time"

	"rockcleat/rendezvous"
	"rockcleat/route"
)

// Requests with the same prefix go to the same server until that server fails.
func ExampleTable_Order() {
	now := time.Unix(1000, 0)
	var t route.Table
	servers := []route.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	prefix := rendezvous.Key("system prompt of the puzzle desk")
	first := t.Order(servers, prefix, now)[0]
	again := t.Order(servers, prefix, now)[0]
	fmt.Println("same server:", first == again)
	t.Avoid(first.ID, now)
	fmt.Println("after a failure another:", t.Order(servers, prefix, now)[0] != first)
	// Output:
	// same server: true
	// after a failure another: true
}
