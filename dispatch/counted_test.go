package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/dispatch"
)

// TestShortRequestsUseAllSlots plays more short streams of several gateways than one engine can serve. It guards against an
// owner that counts requests which have ended, and so leaves slots free, or one that admits more than there are slots.
func TestShortRequestsUseAllSlots(t *testing.T) {
	const (
		slots    = 8
		work     = 200 * time.Millisecond
		requests = 400
	)
	tests := map[string]struct {
		gateways int
		loss     float64
		// minServed is the part of the engine's capacity that has to be used. Each slot is free for a notice and a grant
		// after each request.
		minServed float64
	}{
		"one gateway":                        {gateways: 1, minServed: 0.95},
		"three gateways":                     {gateways: 3, minServed: 0.85},
		"30 gateways":                        {gateways: 30, minServed: 0.85},
		"30 gateways, 1 in 10 messages lost": {gateways: 30, loss: 0.1, minServed: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer drain()
				g := newCountedGroup(test.gateways, engine("a"))
				luck := rand.New(rand.NewPCG(1, 2))
				g.lost = func() bool { return luck.Float64() < test.loss }
				start := time.Now()
				served := 0
				var callers sync.WaitGroup
				for i := range requests {
					callers.Go(func() {
						if g.run(fmt.Sprint("g", i%test.gateways), shortRequest(g.clock), work) == nil {
							g.mu.Lock()
							served++
							g.mu.Unlock()
						}
					})
					time.Sleep(work / slots * 2 / 3)
				}
				callers.Wait()
				capacity := float64(slots) * time.Since(start).Seconds() / work.Seconds()
				t.Logf("served %d of a capacity of %.0f, at most %d at once", served, capacity, g.most["a"])
				assert.Assert(t, float64(served) >= test.minServed*capacity, "served %d of %.0f", served, capacity)
				assert.Assert(t, g.most["a"] <= slots || test.loss > 0, "%d at once", g.most["a"])
				time.Sleep(5 * time.Second)
				for _, d := range g.dispatchers {
					d.Expire(time.Now())
				}
				assert.Equal(t, g.counted("a"), 0)
			})
		})
	}
}

// TestRequestsOfStoppedGatewayAreDropped guards against slots that stay taken by a gateway that was killed.
func TestRequestsOfStoppedGatewayAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(2, engine("a"))
		other := g.notOwner(t, "a")
		g.acquire(t, other, 8)
		assert.Equal(t, g.counted("a"), 8)
		g.stop(other)
		assert.Equal(t, g.counted("a"), 0)
	})
}

// TestNewOwnerCountsRunningRequests guards against a new owner that admits requests beyond the slots, since it does not know
// of those that the former one admitted.
func TestNewOwnerCountsRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(3, engine("a"))
		owner := g.owner(t, "a")
		for id := range g.dispatchers {
			g.acquire(t, id, 2)
		}
		assert.Equal(t, g.counted("a"), 6)
		g.stop(owner)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, g.counted("a"), 4)
	})
}

// TestPlainServersGetNoMoreThanTheirSlots plays a burst of many gateways at a plain service of three servers. It guards
// against gateways that send by outdated loads, so that the servers refuse what another one could have taken.
func TestPlainServersGetNoMoreThanTheirSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		const gateways, requests = 30, 300
		g := newCountedGroup(gateways, countedPlain("a"), countedPlain("b"), countedPlain("c"))
		var refused int
		var callers sync.WaitGroup
		for i := range requests {
			callers.Go(func() {
				if err := g.run(fmt.Sprint("g", i%gateways), countedPlainRequest(g.clock, 1600*time.Millisecond), 30*time.Millisecond); err != nil {
					g.mu.Lock()
					refused++
					g.mu.Unlock()
				}
			})
		}
		callers.Wait()
		assert.Equal(t, refused, 0)
		// Three more than the slots are on their way to or from the server.
		for id, most := range g.most {
			assert.Assert(t, most <= 9, "%s had %d", id, most)
		}
	})
}

// TestHopelessRequestIsRefusedAtOnce guards against requests that wait as long as they may and are refused then, although the
// queue was too long from the start.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(2, countedPlain("a"))
		var callers sync.WaitGroup
		for range 9 {
			assert.NilError(t, g.run("g0", countedPlainRequest(g.clock, time.Second), 500*time.Millisecond))
		}
		for range 61 {
			callers.Go(func() { _ = g.run("g0", countedPlainRequest(g.clock, time.Minute), 500*time.Millisecond) })
		}
		time.Sleep(10 * time.Millisecond)
		for _, gateway := range []string{"g0", "g1"} {
			started := time.Now()
			r := countedPlainRequest(g.clock, time.Second)
			r.Priority = 1
			_, err := g.dispatchers[gateway].Acquire(context.Background(), r)
			var busy *dispatch.BusyError
			assert.Assert(t, errors.As(err, &busy), "%v", err)
			assert.Assert(t, time.Since(started) < 10*time.Millisecond)
			// 52 requests of half a second wait before it, and nine can be there.
			assert.Assert(t, busy.RetryAfter > 2500*time.Millisecond && busy.RetryAfter < 3500*time.Millisecond, "%s", busy.RetryAfter)
		}
		callers.Wait()
	})
}

// TestQueuedRequestsOfAServerOfAnotherService guards against a gateway that ends, or that sends a request to a server of another
// service, when the record of a server for which requests wait comes to name another service.
func TestQueuedRequestsOfAServerOfAnotherService(t *testing.T) {
	tests := map[string]struct {
		service string
		// ownerIsLate is set if the server's owner does not learn of the change.
		ownerIsLate bool
	}{
		"unknown service":                 {service: "guest-book"},
		"service with requests that wait": {service: "second"},
		"the owner does not know":         {service: "guest-book", ownerIsLate: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testQueuedRequestsOfAServerOfAnotherService(t, test.service, test.ownerIsLate) })
		})
	}
}

func testQueuedRequestsOfAServerOfAnotherService(t *testing.T, other string, ownerIsLate bool) {
	defer drain()
	second := countedPlain("c")
	second.Service = "second"
	g := newCountedGroup(3, countedPlain("a"), countedPlain("b"), second)
	var callers sync.WaitGroup
	var changed time.Time
	afterChange := map[string]int{}
	late := ""
	if ownerIsLate {
		late = g.owner(t, "a")
	}
	start := func(service string) {
		for i := range 60 {
			callers.Go(func() {
				r := countedPlainRequest(g.clock, 4*time.Second)
				r.Service = service
				gateway := fmt.Sprint("g", i%3)
				res, err := g.dispatchers[gateway].Acquire(context.Background(), r)
				if err != nil {
					return
				}
				g.mu.Lock()
				if gateway != late && !changed.IsZero() && time.Since(changed) > 3*messageTime {
					afterChange[service+" at "+res.Server().ID]++
				}
				g.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				res.RecordFirstByte()
				res.Done(dispatch.Succeeded)
			})
		}
	}
	start("plain")
	start("second")
	time.Sleep(250 * time.Millisecond)
	g.mu.Lock()
	changed = time.Now()
	g.mu.Unlock()
	foreign := countedPlain("a")
	foreign.Service = other
	for id, d := range g.dispatchers {
		if id != late {
			d.SetServers(snapshot(foreign, countedPlain("b"), second))
		}
	}
	callers.Wait()
	assert.Equal(t, afterChange["plain at a"], 0, "%v", afterChange)
	assert.Assert(t, afterChange["plain at b"] > 0, "%v", afterChange)
	if other == "second" {
		assert.Assert(t, afterChange["second at a"] > 0, "%v", afterChange)
	}
}

// TestUrgentRequestOfAnotherGatewayComesFirst guards against an order that each gateway has for itself.
func TestUrgentRequestOfAnotherGatewayComesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(3, countedPlain("a"))
		var callers sync.WaitGroup
		for i := range 9 {
			// One slot becomes free early; the others do not.
			work := 2 * time.Second
			if i == 0 {
				work = 100 * time.Millisecond
			}
			callers.Go(func() { assert.Check(t, g.run("g0", countedPlainRequest(g.clock, time.Second), work)) })
		}
		time.Sleep(5 * time.Millisecond)
		var order []string
		for i, gateway := range []string{"g0", "g1", "g2"} {
			r := countedPlainRequest(g.clock, time.Second)
			r.Priority = 2 - i
			callers.Go(func() {
				assert.Check(t, g.run(gateway, r, 100*time.Millisecond))
				g.mu.Lock()
				order = append(order, gateway)
				g.mu.Unlock()
			})
			time.Sleep(5 * time.Millisecond)
		}
		callers.Wait()
		assert.DeepEqual(t, order, []string{"g2", "g1", "g0"})
	})
}

// TestRestartedGatewayIsAdmitted guards against an owner that refuses the requests of a gateway whose former process it
// knows, and against slots that stay taken by that process.
func TestRestartedGatewayIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(2, engine("a"))
		other := g.notOwner(t, "a")
		g.acquire(t, other, 8)
		restarted := dispatch.New(dispatch.Options{
			ID: other, Hall: "h", Clock: g.clock, Utilization: 1, Owners: g, Accounts: g, Epoch: 99, MaxCountedSlots: 8,
			CacheTokens: func(string) int { return cacheTokens },
		})
		restarted.SetServers(snapshot(engine("a")))
		restarted.SetGateways(g.list)
		g.mu.Lock()
		g.dispatchers[other] = restarted
		g.mu.Unlock()
		assert.NilError(t, g.run(other, shortRequest(g.clock), 100*time.Millisecond))
		time.Sleep(time.Second)
		assert.Equal(t, g.counted("a"), 0)
	})
}

// TestReturningCallerComesBeforeNewOnes guards against refused callers that wait behind those who come later, and against
// callers that gain from coming back too early.
func TestReturningCallerComesBeforeNewOnes(t *testing.T) {
	tests := map[string]struct {
		// after is when the caller comes back, as a part of the time after which it was asked to.
		after float64
		want  []string
	}{
		"as it was asked to": {after: 1.05, want: []string{"returned", "new"}},
		"too early":          {after: 0.3, want: []string{"new", "returned"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer drain()
				g := newCountedGroup(2, countedPlain("a"))
				// All requests take as long, so that the estimate is exact.
				for range 9 {
					assert.NilError(t, g.run("g0", countedPlainRequest(g.clock, time.Second), 3*time.Second))
				}
				var callers sync.WaitGroup
				for i := range 9 {
					work := 6 * time.Second
					if i == 0 {
						work = 4500 * time.Millisecond
					}
					callers.Go(func() { assert.Check(t, g.run("g0", countedPlainRequest(g.clock, time.Second), work)) })
				}
				time.Sleep(5 * time.Millisecond)
				impatient := func(wait time.Duration, key uint64) *dispatch.Request {
					now := g.clock.Now()
					return &dispatch.Request{
						Service: "plain", Arrived: now, SendBy: now.Add(10 * time.Second), WaitUntil: now.Add(wait),
						Deadline: now.Add(30 * time.Second), ContentKey: key,
					}
				}
				_, err := g.dispatchers["g0"].Acquire(context.Background(), impatient(10*time.Millisecond, 7))
				var busy *dispatch.BusyError
				assert.Assert(t, errors.As(err, &busy), "%v", err)
				time.Sleep(time.Duration(test.after * float64(busy.RetryAfter)))
				var order []string
				call := func(name string, r *dispatch.Request) {
					callers.Go(func() {
						assert.Check(t, g.run("g1", r, 100*time.Millisecond))
						g.mu.Lock()
						order = append(order, name)
						g.mu.Unlock()
					})
					time.Sleep(5 * time.Millisecond)
				}
				call("new", impatient(10*time.Second, 8))
				call("returned", impatient(10*time.Second, 7))
				callers.Wait()
				assert.DeepEqual(t, order, test.want)
			})
		})
	}
}

// TestRequestWaitsForSuspendedOwner guards against requests of plain services that are refused at once since one message to
// their servers' owner was lost.
func TestRequestWaitsForSuspendedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		g := newCountedGroup(2, countedPlain("a"))
		other := g.notOwner(t, "a")
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() { assert.Check(t, g.run(other, countedPlainRequest(g.clock, time.Second), 300*time.Millisecond)) })
		}
		time.Sleep(50 * time.Millisecond)
		lose := 1
		g.mu.Lock()
		g.lost = func() bool { lose--; return lose >= 0 }
		g.mu.Unlock()
		started := time.Now()
		assert.NilError(t, g.run(other, countedPlainRequest(g.clock, time.Second), 30*time.Millisecond))
		assert.Assert(t, time.Since(started) < 200*time.Millisecond, "%s", time.Since(started))
		callers.Wait()
	})
}

// TestHotOrganisationDoesNotCrowdOutOthers plays an organisation that sends six times what an engine can serve, through several
// gateways, beside two that send their usual. It guards against an order by arrival, in which all have the same part of
// their requests served.
func TestHotOrganisationDoesNotCrowdOutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer drain()
		const gateways, seconds = 6, 10
		g := newCountedGroup(gateways, engine("a"))
		type result struct{ sent, inTime int }
		results := make(map[string]*result)
		var callers sync.WaitGroup
		send := func(organisation string, i int) {
			r := shortRequest(g.clock)
			r.Organisation, r.Weight, r.SendBy = organisation, 1000, r.Arrived.Add(200*time.Millisecond)
			g.mu.Lock()
			x := results[organisation]
			if x == nil {
				x = &result{}
				results[organisation] = x
			}
			x.sent++
			g.mu.Unlock()
			callers.Go(func() {
				err := g.run(fmt.Sprint("g", i%gateways), r, 200*time.Millisecond)
				// The work has taken 0.2 s.
				if err == nil && time.Since(r.Arrived) < 450*time.Millisecond {
					g.mu.Lock()
					x.inTime++
					g.mu.Unlock()
				}
			})
		}
		// The engine serves 40 requests a second.
		for i := range seconds * 240 {
			send("hot", i)
			if i%24 == 0 {
				send("usual 1", i)
				send("usual 2", i+1)
			}
			time.Sleep(time.Second / 240)
		}
		callers.Wait()
		for _, name := range []string{"usual 1", "usual 2"} {
			x := results[name]
			t.Logf("%s: %d of %d in time", name, x.inTime, x.sent)
			assert.Assert(t, x.inTime*10 >= x.sent*9, "%s: %d of %d in time", name, x.inTime, x.sent)
		}
		hot := results["hot"]
		t.Logf("hot: %d of %d in time", hot.inTime, hot.sent)
		// The others take 20 of the 40 requests a second; capacity is not left free.
		assert.Assert(t, hot.inTime >= 15*seconds, "%d of %d in time", hot.inTime, hot.sent)
	})
}
