package route_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/rendezvous"
	"rockcleat/route"
)

var now = time.Unix(1000, 0)

func candidates(n int) []route.Candidate {
	var c []route.Candidate
	for i := range n {
		c = append(c, route.Candidate{ID: fmt.Sprint("s", i), Hall: "h"})
	}
	return c
}

// countFirst returns how often each server came first in n calls of Order.
func countFirst(t *route.Table, cands []route.Candidate, prefix uint64, n int) map[string]int {
	got := make(map[string]int)
	for range n {
		got[t.Order(cands, prefix, now)[0].ID]++
	}
	return got
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		setup func(*route.Table)
		never string
	}{
		"loaded server":      {func(r *route.Table) { r.Report("s0", 50, now) }, ""},
		"avoided server":     {func(r *route.Table) { r.Avoid("s0", now) }, "s0"},
		"outstanding counts": {func(r *route.Table) { begin(r, "s0", 50) }, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &route.Table{Hall: "h"}
			tc.setup(r)
			got := countFirst(r, candidates(4), 0, 400)
			// Picks are made with replacement, so a loaded server comes first only if it is picked
			// twice.
			assert.Assert(t, got["s0"] < 60, "%v", got)
			assert.Assert(t, tc.never == "" || got[tc.never] == 0, "%v", got)
			assert.Equal(t, len(r.Order(candidates(4), 0, now)), 4)
		})
	}
}

func begin(r *route.Table, id string, n int) {
	for range n {
		r.Begin(id)
	}
}

// TestPrefix checks that a prefix keeps its server until the load of that server exceeds the bound.
func TestPrefix(t *testing.T) {
	r := &route.Table{}
	got := countFirst(r, candidates(4), 7, 100)
	assert.Equal(t, len(got), 1)
	var preferred string
	for id := range got {
		preferred = id
	}
	begin(r, preferred, 20)
	got = countFirst(r, candidates(4), 7, 100)
	assert.Assert(t, got[preferred] < 30, "%v", got)
}

func TestOwnHallFirst(t *testing.T) {
	r := &route.Table{Hall: "b"}
	cands := append(candidates(3), route.Candidate{ID: "near", Hall: "b"})
	assert.Equal(t, r.Order(cands, 0, now)[len(cands)-1].Hall, "h")
}

func TestLeaving(t *testing.T) {
	r := &route.Table{}
	r.Leave("s0", "first")
	assert.Assert(t, r.Leaving("s0", "first"))
	assert.Assert(t, !r.Leaving("s0", "second"), "the server was started anew")
}

func TestRendezvousSpreads(t *testing.T) {
	got := make(map[string]int)
	for key := range uint64(3000) {
		best, id := uint64(0), ""
		for _, c := range candidates(3) {
			if h := rendezvous.Weight(c.ID, key); h > best {
				best, id = h, c.ID
			}
		}
		got[id]++
	}
	for id, n := range got {
		assert.Assert(t, n > 800 && n < 1200, "%s has %d of 3000", id, n)
	}
}
