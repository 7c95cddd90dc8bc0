package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
)

// TestSheds checks whether requests of priority 2 are shed, given the results of other requests.
func TestSheds(t *testing.T) {
	type outcome struct {
		priority, count int
		result          float64
	}
	tests := map[string]struct {
		outcomes []outcome
		after    time.Duration
		want     bool
	}{
		"nothing known":           {},
		"more urgent ones worse":  {outcomes: []outcome{{1, 10, 0.5}, {2, 10, 1}}, want: true},
		"most urgent ones worse":  {outcomes: []outcome{{0, 10, 0.5}, {1, 10, 1}, {2, 10, 1}}, want: true},
		"within the margin":       {outcomes: []outcome{{1, 10, 0.95}, {2, 10, 1}}},
		"less urgent ones worse":  {outcomes: []outcome{{3, 10, 0}, {2, 10, 1}}},
		"all alike":               {outcomes: []outcome{{1, 10, 0.2}, {2, 10, 0.2}}},
		"too few to tell":         {outcomes: []outcome{{1, 3, 0}, {2, 10, 1}}},
		"long ago":                {outcomes: []outcome{{1, 10, 0}, {2, 10, 1}}, after: time.Minute},
		"nothing known of itself": {outcomes: []outcome{{1, 10, 0}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s shedder
			now := time.Unix(1000, 0)
			for _, o := range test.outcomes {
				for range o.count {
					s.observe(o.priority, o.result, now)
				}
			}
			assert.Equal(t, s.shouldShed(2, now.Add(test.after)), test.want)
		})
	}
}

// TestLowerPriorityIsShed checks that a request that a full engine cannot take is shed only if a
// higher-priority request with a lower success rate waits for the engine and the request has not
// run anywhere.
func TestLowerPriorityIsShed(t *testing.T) {
	tests := map[string]struct {
		urgentWaits, begun bool
		// model is the model of the waiting higher-priority request.
		model string
		want  error
	}{
		"an urgent one waits":   {urgentWaits: true, model: "m", want: ErrShed},
		"for a model not there": {urgentWaits: true, model: "other", want: ErrWaitTimeout},
		"none waits":            {want: ErrWaitTimeout},
		"it may have run":       {urgentWaits: true, model: "m", begun: true, want: ErrWaitTimeout},
		"none waits, has run":   {begun: true, want: ErrWaitTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.Real{}
			d := New(Options{ID: "g", Hall: "h", Clock: c, Utilization: 1, CacheTokens: func(string) int { return 100 }})
			var r backend.Registry
			r.Replace([]backend.Server{{
				ID: "a", Service: "llm", Hall: "h", Slots: 1, Residents: []backend.Resident{{Model: "m"}},
			}}, c.Now())
			d.SetServers(r.Snapshot())
			request := func(priority int, wait time.Duration) *Request {
				return &Request{Service: "llm", Model: "m", PromptTokens: 10, Priority: priority, WaitUntil: c.Now().Add(wait)}
			}
			_, err := d.Acquire(context.Background(), request(1, time.Minute))
			assert.NilError(t, err)
			for range 10 {
				d.RecordResult(request(1, 0), 0)
				d.RecordResult(request(2, 0), 1)
			}
			if test.urgentWaits {
				d.mu.Lock()
				higher := request(1, time.Minute)
				higher.Model = test.model
				d.enqueue(&waiter{req: higher, ready: make(chan struct{})})
				d.mu.Unlock()
			}
			lower := request(2, time.Millisecond)
			lower.MayHaveRun = test.begun
			_, err = d.Acquire(context.Background(), lower)
			assert.Equal(t, err, test.want)
		})
	}
}
