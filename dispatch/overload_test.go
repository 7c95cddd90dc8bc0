package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// TestLateRequestsUsePartOfAnEngine checks how many slots of an engine late requests may use.
func TestLateRequestsUsePartOfAnEngine(t *testing.T) {
	tests := map[string]struct {
		running    int
		late       bool
		mayHaveRun bool
		want       bool
	}{
		"in time, a slot left":                {running: 7, want: true},
		"in time, full":                       {running: 8},
		"late, less than half taken":          {running: 3, late: true, want: true},
		"late, half taken":                    {running: 4, late: true},
		"late, but the answer may have begun": {running: 7, late: true, mayHaveRun: true, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			d := dispatcher(c, engine("a"))
			for range test.running {
				_, err := d.Acquire(canceledContext(), request(c))
				assert.NilError(t, err)
			}
			r := request(c)
			r.MayHaveRun = test.mayHaveRun
			if test.late {
				r.SendBy = c.Now().Add(-time.Millisecond)
			}
			assert.Equal(t, d.CanSend(r), test.want)
		})
	}
}

// TestOwnersLimitLateRequests checks that an owner denies a late request admission to an engine
// with half of its slots in use.
func TestOwnersLimitLateRequests(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := dispatcher(c, engine("a"))
	for range 4 {
		_, err := d.Acquire(canceledContext(), request(c))
		assert.NilError(t, err)
	}
	r := dispatch.AdmissionRequest{Server: "a", Model: model, PromptTokens: 1000, MaxOutputTokens: 100}
	assert.Assert(t, d.Admit(r).Admitted)
	r.Late = true
	assert.Assert(t, !d.Admit(r).Admitted)
}

// Parameters of a backlog: requests wait for a model until two engines hold it, while three
// gateways continue to receive as many requests as these engines can serve.
const (
	backlogUntil   = 1500 * time.Millisecond
	backlogTime    = 20 * time.Second
	backlogRate    = 16 // requests a second; two engines of 8 slots serve 16
	backlogService = time.Second
	backlogSendBy  = 280 * time.Millisecond
	backlogWait    = 1600 * time.Millisecond
	// leastInTime is the minimum number of requests served in time. It is missed if late requests
	// may use all slots.
	leastInTime = 280
)

// TestBacklogDoesNotDelayNewRequests checks that engines work off a backlog without making new
// requests late.
func TestBacklogDoesNotDelayNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := clocktest.Real{}
		g := newGatewayGroup(c, 3)
		served := runBacklog(c, g)
		t.Logf("in time %d, late %d", served.inTime, served.late)
		assert.Assert(t, served.inTime >= leastInTime, "in time %d, late %d", served.inTime, served.late)
	})
}

type served struct{ inTime, late int }

func runBacklog(c clock.Service, g *gatewayGroup) (total served) {
	var mu sync.Mutex
	call := func(d *dispatch.Dispatcher) {
		r := request(c)
		r.SendBy, r.WaitUntil = c.Now().Add(backlogSendBy), c.Now().Add(backlogWait)
		res, err := d.Acquire(context.Background(), r)
		if err != nil {
			return
		}
		mu.Lock()
		if c.Now().After(r.SendBy) {
			total.late++
		} else {
			total.inTime++
		}
		mu.Unlock()
		time.Sleep(backlogService)
		res.Done(dispatch.Answered)
	}
	time.AfterFunc(backlogUntil, func() {
		for _, d := range g.dispatchers {
			d.SetServers(snapshot(engine("a"), engine("b")))
		}
	})
	var callers sync.WaitGroup
	for i := range int(backlogTime.Seconds() * backlogRate) {
		d := g.dispatchers[fmt.Sprint("g", i*i%7%3)]
		callers.Go(func() { call(d) })
		time.Sleep(time.Second / backlogRate)
	}
	callers.Wait()
	return total
}
