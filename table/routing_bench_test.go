package table_test

import (
	"fmt"
	"testing"

	"rockcleat/table"
)

// BenchmarkMatch measures Match for a host with few and with many routes. The path matches
// the last one.
func BenchmarkMatch(b *testing.B) {
	for _, routes := range []int{10, 4400} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			list := make([]table.Route, routes)
			for i := range list {
				list[i] = table.Route{Host: "app.example", Prefix: fmt.Sprintf("/p%07d/", i)}
			}
			r := table.NewRouting(1, list, nil, table.RequestLimits{})
			path := list[routes-1].Prefix + "a/b/c"
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Match("app.example", path); !ok {
					b.Fatal("Match found no route for the last prefix")
				}
			}
		})
	}
}
