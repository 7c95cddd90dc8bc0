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

	"rockcleat/admission"
	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// messageTime is the time that a message between two gateways of a countedGroup takes.
const messageTime = time.Millisecond

var errLost = errors.New("message lost")

// A countedGroup is a set of dispatchers whose servers are counted by their owners. Messages take messageTime, and some
// are lost.
type countedGroup struct {
	clock clock.Service
	lost  func() bool

	mu          sync.Mutex
	dispatchers map[string]*dispatch.Dispatcher
	list        []dispatch.Gateway
	// running is the number of requests that run at each server, most the largest number.
	running, most map[string]int
}

func newCountedGroup(gateways int, servers ...backend.Server) *countedGroup {
	g := &countedGroup{
		clock: clocktest.Real{}, lost: func() bool { return false }, dispatchers: make(map[string]*dispatch.Dispatcher),
		running: make(map[string]int), most: make(map[string]int),
	}
	for i := range gateways {
		g.list = append(g.list, dispatch.Gateway{ID: fmt.Sprint("g", i), Hall: "h"})
	}
	for i, x := range g.list {
		d := dispatch.New(dispatch.Options{
			ID: x.ID, Hall: x.Hall, Clock: g.clock, Utilization: 1, Owners: g, Accounts: g, Epoch: int64(i + 1), MaxCountedSlots: 8,
			CacheTokens: func(name string) int {
				if name == service {
					return cacheTokens
				}
				return 0
			},
		})
		d.SetServers(snapshot(servers...))
		d.SetGateways(g.list)
		g.dispatchers[x.ID] = d
	}
	return g
}

// drain waits until all messages have arrived, so that a bubble of package synctest ends without goroutines.
func drain() { time.Sleep(10 * time.Second) }

// to returns the receiver of a message after the time that it takes, or an error if it is lost.
func (g *countedGroup) to(gateway string) (*dispatch.Dispatcher, error) {
	time.Sleep(messageTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.dispatchers[gateway]
	if d == nil || g.lost() {
		return nil, errLost
	}
	return d, nil
}

// Admit implements dispatch.Owners.
func (g *countedGroup) Admit(_ context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	d, err := g.to(owner)
	if err != nil {
		return dispatch.AdmissionReply{}, err
	}
	reply := d.Admit(r)
	_, err = g.to(owner)
	return reply, err
}

// Notify implements dispatch.Accounts.
func (g *countedGroup) Notify(_ context.Context, owner string, m admission.Message) (admission.Ack, error) {
	d, err := g.to(owner)
	if err != nil {
		return admission.Ack{}, err
	}
	ack := d.Notified(m)
	_, err = g.to(owner)
	return ack, err
}

// Grant implements dispatch.Accounts.
func (g *countedGroup) Grant(_ context.Context, sender string, m dispatch.GrantMessage) error {
	d, err := g.to(sender)
	if err == nil {
		d.Granted(m)
	}
	return err
}

// run serves one request through a gateway and reports whether it was served. It may not wait longer than the given time.
func (g *countedGroup) run(gateway string, r *dispatch.Request, work time.Duration) error {
	d := g.dispatchers[gateway]
	res, err := d.Acquire(context.Background(), r)
	if err != nil {
		return err
	}
	id := res.Server().ID
	g.mu.Lock()
	g.running[id]++
	g.most[id] = max(g.most[id], g.running[id])
	g.mu.Unlock()
	time.Sleep(work)
	res.RecordFirstByte()
	g.mu.Lock()
	g.running[id]--
	g.mu.Unlock()
	res.Done(dispatch.Succeeded)
	return nil
}

// stop ends a gateway: it gets no more messages and is no longer listed.
func (g *countedGroup) stop(gateway string) {
	g.mu.Lock()
	delete(g.dispatchers, gateway)
	var list []dispatch.Gateway
	for _, x := range g.list {
		if x.ID != gateway {
			list = append(list, x)
		}
	}
	g.list = list
	rest := make([]*dispatch.Dispatcher, 0, len(g.dispatchers))
	for _, d := range g.dispatchers {
		rest = append(rest, d)
	}
	g.mu.Unlock()
	for _, d := range rest {
		d.SetGateways(list)
	}
}

// owner returns the gateway that owns a server.
func (g *countedGroup) owner(t *testing.T, server string) string {
	t.Helper()
	for id, d := range g.dispatchers {
		if d.Admit(dispatch.AdmissionRequest{Server: server}).Owned {
			return id
		}
	}
	t.Fatal("nobody owns the server")
	return ""
}

// counted returns the number of requests that the owner of a server counts there.
func (g *countedGroup) counted(server string) int {
	n := 0
	for _, d := range g.dispatchers {
		for _, x := range d.CountedLoads() {
			if x.Server == server {
				n = max(n, x.Running)
			}
		}
	}
	return n
}

func countedPlain(id string) backend.Server {
	return backend.Server{ID: id, Service: "plain", Hall: "h", Slots: 6}
}

func countedPlainRequest(c clock.Service, wait time.Duration) *dispatch.Request {
	now := c.Now()
	return &dispatch.Request{Service: "plain", Arrived: now, SendBy: now.Add(wait / 2), WaitUntil: now.Add(wait), Deadline: now.Add(2 * wait)}
}

func shortRequest(c clock.Service) *dispatch.Request {
	r := request(c)
	r.Arrived, r.WaitUntil, r.Deadline = c.Now(), c.Now().Add(1600*time.Millisecond), c.Now().Add(3*time.Second)
	r.PromptTokens, r.MaxOutputTokens = 10, 10
	return r
}

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
		owner := g.owner(t, "a")
		other := map[string]string{"g0": "g1", "g1": "g0"}[owner]
		for range 8 {
			_, err := g.dispatchers[other].Acquire(context.Background(), shortRequest(g.clock))
			assert.NilError(t, err)
		}
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
		for _, d := range g.dispatchers {
			for range 2 {
				_, err := d.Acquire(context.Background(), shortRequest(g.clock))
				assert.NilError(t, err)
			}
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
		owner := g.owner(t, "a")
		other := map[string]string{"g0": "g1", "g1": "g0"}[owner]
		for range 8 {
			_, err := g.dispatchers[other].Acquire(context.Background(), shortRequest(g.clock))
			assert.NilError(t, err)
		}
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
		owner := g.owner(t, "a")
		other := map[string]string{"g0": "g1", "g1": "g0"}[owner]
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
