package table_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/table"
)

func validRow(name string, weight int) *table.Row {
	r := table.NewRow(name)
	r.Weight = weight
	return &r
}

func rowChange(name string, weight int, seen uint64) table.Change {
	return table.Change{Name: name, Seen: seen, Row: validRow(name, weight)}
}

func TestCheck(t *testing.T) {
	change := func(f func(*table.Row)) *table.Row {
		r := table.NewRow("m")
		f(&r)
		return &r
	}
	tests := map[string]struct {
		row    *table.Row
		column string
	}{
		"valid":                {row: change(func(*table.Row) {})},
		"empty name":           {row: change(func(r *table.Row) { r.Name = "" }), column: "name"},
		"name with space":      {row: change(func(r *table.Row) { r.Name = "a b" }), column: "name"},
		"unknown kind":         {row: change(func(r *table.Row) { r.Kind = "x" }), column: "kind"},
		"unknown tier":         {row: change(func(r *table.Row) { r.Tier = "gold" }), column: "tier"},
		"weight 0":             {row: change(func(r *table.Row) { r.Weight = 0 }), column: "weight"},
		"share 101":            {row: change(func(r *table.Row) { r.Share = 101 }), column: "share"},
		"concurrency below 0":  {row: change(func(r *table.Row) { r.Concurrency = -1 }), column: "concurrency"},
		"queue time too long":  {row: change(func(r *table.Row) { r.QueueTime = time.Hour }), column: "queue_time"},
		"model with base":      {row: change(func(r *table.Row) { r.Base = "b" }), column: "base"},
		"adapter without base": {row: change(func(r *table.Row) { r.Kind, r.Base = table.KindAdapter, "none" }), column: "base"},
		"model with path":      {row: change(func(r *table.Row) { r.Path = "/x" }), column: "path"},
		"service without path": {row: change(func(r *table.Row) { r.Kind = table.KindService }), column: "path"},
		"service under /v1": {row: change(func(r *table.Row) {
			r.Kind, r.Path = table.KindService, "/v1/x"
		}), column: "path"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var zero table.Table
			errs := zero.Apply(table.Edit{Changes: []table.Change{{Name: tc.row.Name, Row: tc.row}}}, 1).Check()
			if tc.column == "" {
				assert.Equal(t, len(errs), 0)
				return
			}
			assert.Assert(t, len(errs) > 0)
			assert.Equal(t, errs[0].Column, tc.column)
			assert.Equal(t, errs[0].Row, tc.row.Name)
			assert.Assert(t, errs[0].Allowed != "")
		})
	}
}

// TestDeltas checks that deltas bring a replica from any version to any newer one, and that
// deltas of older versions do not change it.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*table.Table{{}}
		n := rapid.IntRange(1, 30).Draw(t, "edits")
		for i := range n {
			last := versions[len(versions)-1]
			name := fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(t, "row"))
			c := table.Change{Name: name}
			if rapid.Bool().Draw(t, "set") {
				c.Row = validRow(name, i+1)
			}
			versions = append(versions, last.Apply(table.Edit{Changes: []table.Change{c}}, last.Version()+1))
		}
		var r table.Replica
		for range 20 {
			source := versions[rapid.IntRange(0, n).Draw(t, "source")]
			before := r.Current().Version()
			r.Merge(source.Since(before))
			assert.Equal(t, r.Current().Version(), max(before, source.Version()))
			assert.DeepEqual(t, r.Current().Rows(), versions[r.Current().Version()].Rows())
		}
	})
}

func TestReplicaNeverReverts(t *testing.T) {
	var zero table.Table
	one := zero.Apply(table.Edit{Changes: []table.Change{rowChange("m", 1, 0)}}, 1)
	two := one.Apply(table.Edit{Changes: []table.Change{rowChange("m", 2, 1)}}, 2)
	var r table.Replica
	assert.Assert(t, r.Offer(two))
	assert.Assert(t, !r.Offer(one))
	assert.Assert(t, !r.Merge(one.Since(0)))
	assert.Equal(t, r.Current().Version(), uint64(2))
}

func TestDeltaIsFullBeyondRetainedRemovals(t *testing.T) {
	tab := (&table.Table{}).Apply(table.Edit{Changes: []table.Change{rowChange("keep", 1, 0), rowChange("early", 1, 0)}}, 1)
	early := tab
	tab = tab.Apply(table.Edit{Changes: []table.Change{{Name: "early"}}}, 2)
	for v := uint64(3); v < 2100; v += 2 {
		tab = tab.Apply(table.Edit{Changes: []table.Change{rowChange("x", 1, 0)}}, v)
		tab = tab.Apply(table.Edit{Changes: []table.Change{{Name: "x"}}}, v+1)
	}
	d := tab.Since(early.Version())
	assert.Assert(t, d.Full)
	assert.DeepEqual(t, early.Merge(d).Rows(), tab.Rows())
}
