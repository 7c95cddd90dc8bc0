package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// TestTrialAvoidsWhatACrashWouldCut checks that requests on trial go to engines with few streams, apart from each other,
// and not to the only holder of a model, if there is another engine.
func TestTrialAvoidsWhatACrashWouldCut(t *testing.T) {
	onTrial := func(c *clocktest.Clock) *dispatch.Request {
		r := request(c)
		r.OnTrial = true
		return r
	}
	sole := engine("sole")
	sole.Residents = append(sole.Residents, backend.Resident{Model: "rare"})
	tests := map[string]struct {
		servers []backend.Server
		// streams is the number of streams, trials that of trials before the one that is checked.
		streams, trials int
		want            func(before []string, got string) bool
	}{
		"few streams": {
			servers: []backend.Server{engine("a"), engine("b")}, streams: 3,
			want: func(before []string, got string) bool { return count(before, got) < 2 },
		},
		"apart from another trial": {
			servers: []backend.Server{engine("a"), engine("b")}, trials: 1,
			want: func(before []string, got string) bool { return count(before, got) == 0 },
		},
		"at one engine if there is no other": {
			servers: []backend.Server{engine("a")}, trials: 1,
			want: func(_ []string, got string) bool { return got == "a" },
		},
		"not the only holder of a model": {
			servers: []backend.Server{sole, engine("b")}, streams: 1,
			want: func(_ []string, got string) bool { return got == "b" },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Now())
			d := dispatcher(c, test.servers...)
			var before []string
			for i := range test.streams + test.trials {
				r := request(c)
				r.OnTrial = i >= test.streams
				res, err := d.Acquire(canceledContext(), r)
				assert.NilError(t, err)
				res.RecordFirstByte()
				before = append(before, res.Server().ID)
			}
			res, err := d.Acquire(canceledContext(), onTrial(c))
			assert.NilError(t, err)
			assert.Assert(t, test.want(before, res.Server().ID), "%s after %v", res.Server().ID, before)
		})
	}
}

// count returns how often a text is in a list.
func count(list []string, text string) (n int) {
	for _, x := range list {
		if x == text {
			n++
		}
	}
	return n
}
