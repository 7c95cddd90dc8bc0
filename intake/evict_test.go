package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/intake"
)

func TestEvict(t *testing.T) {
	const s = time.Second
	now := start.Add(time.Hour)
	conn := func(w intake.Wait, waited time.Duration) intake.OpenConn {
		return intake.OpenConn{Wait: w, Since: now.Add(-waited)}
	}
	tests := map[string]struct {
		list []intake.OpenConn
		n    int
		want []int
	}{
		"none":                            {n: 2, want: []int{}},
		"requests in progress stay":       {list: []intake.OpenConn{conn(intake.WaitNone, 9*s)}, n: 1, want: []int{}},
		"requests that just begin stay":   {list: []intake.OpenConn{conn(intake.WaitRequest, s/2)}, n: 1, want: []int{}},
		"longest first":                   {list: []intake.OpenConn{conn(intake.WaitNext, s), conn(intake.WaitNext, 3*s), conn(intake.WaitNext, 2*s)}, n: 2, want: []int{1, 2}},
		"parts of requests before others": {list: []intake.OpenConn{conn(intake.WaitNext, 9*s), conn(intake.WaitRequest, 2*s)}, n: 1, want: []int{1}},
		"kept ones if there are no parts": {list: []intake.OpenConn{conn(intake.WaitRequest, s/2), conn(intake.WaitNext, 0)}, n: 1, want: []int{1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, intake.Evict(test.list, now, test.n), test.want) })
	}
}

func TestExcess(t *testing.T) {
	tests := map[string]struct{ open, maxOpen, want int }{
		"any number":      {open: 1000},
		"room":            {open: 150, maxOpen: 160},
		"not enough room": {open: 151, maxOpen: 160, want: 10},
		"full":            {open: 160, maxOpen: 160, want: 10},
		"a small number":  {open: 4, maxOpen: 4, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, intake.Excess(test.open, test.maxOpen), test.want) })
	}
}

func TestEvictHeads(t *testing.T) {
	const s = time.Second
	now := start.Add(time.Hour)
	conn := func(w intake.Wait, held int64, waited time.Duration) intake.OpenConn {
		return intake.OpenConn{Wait: w, Held: held, Since: now.Add(-waited)}
	}
	tests := map[string]struct {
		list []intake.OpenConn
		need int64
		want []int
	}{
		"none":                         {need: 10},
		"requests in progress stay":    {list: []intake.OpenConn{conn(intake.WaitNone, 100, 9*s)}, need: 10},
		"those that hold nothing stay": {list: []intake.OpenConn{conn(intake.WaitRequest, 0, 9*s)}, need: 10},
		"most for the longest first": {
			list: []intake.OpenConn{conn(intake.WaitRequest, 10, s), conn(intake.WaitRequest, 10, 3*s), conn(intake.WaitRequest, 50, s)},
			need: 60, want: []int{2, 1},
		},
		"all if there is too little": {
			list: []intake.OpenConn{conn(intake.WaitRequest, 10, s), conn(intake.WaitRequest, 10, 3*s)}, need: 60, want: []int{1, 0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := intake.EvictHeads(test.list, now, test.need)
			assert.Equal(t, len(got), len(test.want))
			for i := range got {
				assert.Equal(t, got[i], test.want[i])
			}
		})
	}
}
