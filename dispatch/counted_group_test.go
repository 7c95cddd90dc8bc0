package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
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

// call calls a gateway. The reply takes as long as the message and may be lost as well.
func call[T any](g *countedGroup, gateway string, f func(*dispatch.Dispatcher) T) (reply T, err error) {
	d, err := g.to(gateway)
	if err != nil {
		return reply, err
	}
	reply = f(d)
	_, err = g.to(gateway)
	return reply, err
}

// Admit implements dispatch.Owners.
func (g *countedGroup) Admit(_ context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	return call(g, owner, func(d *dispatch.Dispatcher) dispatch.AdmissionReply { return d.Admit(r) })
}

// Notify implements dispatch.Accounts.
func (g *countedGroup) Notify(_ context.Context, owner string, m admission.Message) (admission.Ack, error) {
	return call(g, owner, func(d *dispatch.Dispatcher) admission.Ack { return d.Notified(m) })
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

// acquire reserves slots for a number of requests of a gateway, which do not end.
func (g *countedGroup) acquire(t *testing.T, gateway string, requests int) {
	t.Helper()
	for range requests {
		_, err := g.dispatchers[gateway].Acquire(context.Background(), shortRequest(g.clock))
		assert.NilError(t, err)
	}
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
	t.Fatal("no gateway owns the server")
	return ""
}

// notOwner returns the gateway of two that does not own a server.
func (g *countedGroup) notOwner(t *testing.T, server string) string {
	t.Helper()
	return map[string]string{"g0": "g1", "g1": "g0"}[g.owner(t, server)]
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
