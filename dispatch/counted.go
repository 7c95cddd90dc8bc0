package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"rockcleat/admission"
	"rockcleat/backend"
)

// takeoverTime is how long a new owner of a server also counts the loads that gateways report to the leader. Within it all
// gateways have the new list of gateways and have told the owner of their requests.
const takeoverTime = 2 * time.Second

// plainQueueShare is the number of requests that a server of a counted plain service may have beyond its slots, as a part
// of them. Some ten milliseconds pass from the end of a request until the next one arrives, a third of the time that
// requests take, and the server would be idle in them.
const plainQueueShare = 0.5

// plainSlots returns the number of requests that a server of a counted plain service with the given slots may have.
func plainSlots(slots int) int { return slots + int(math.Ceil(plainQueueShare*float64(slots))) }

// isCounted reports whether the owners of a service's servers count each request there: the servers have so few
// slots that an error of a few requests is a large part of the capacity. d.mu must be held.
func (d *Dispatcher) isCounted(service string) bool {
	return d.opts.Accounts != nil && d.countedSlots(service) > 0
}

// countOwned adds the requests of other gateways at an owned server to a candidate's load. The takeover begins when the
// server is first considered after a change of owner: at each change all servers would be too many. d.mu must be held.
func (d *Dispatcher) countOwned(c *Candidate, l *serverLoad, id string, others Load, now time.Time) {
	if !l.owned {
		l.owned, l.takeoverUntil = true, now.Add(takeoverTime)
	}
	sum := d.ledger.Load(id)
	legacy := l.admittedLoad(now)
	running, tokens := sum.Running+legacy.Running, sum.Tokens+legacy.UsedTokens
	if now.Before(l.takeoverUntil) {
		running, tokens = max(running, others.Running), max(tokens, others.UsedTokens)
	}
	c.Running, c.UsedTokens = l.Running+running, l.UsedTokens+tokens
	c.PrefillAhead = max(InMilliseconds(l.prefill.end(now).Sub(now)), Milliseconds(l.PrefillMs))
}

// ownershipChanged moves the requests at servers that now have another owner to that owner's account. d.mu must be held.
func (d *Dispatcher) ownershipChanged() {
	if d.opts.MaxCountedSlots == 0 || d.opts.Accounts == nil || len(d.owners.gateways) == 0 {
		return
	}
	now := d.opts.Clock.Now()
	for res := range d.accounted {
		d.moveAccount(res, now)
	}
	for _, owner := range d.outbox.Owners() {
		if !d.owners.isListed(owner) {
			d.outbox.Reset(owner)
		}
	}
	d.ledger.RetainSenders(d.owners.isListed)
	d.serveQueues()
}

// moveAccount tells the present owner of a server about a request there, if it is not in its account. d.mu must be held.
func (d *Dispatcher) moveAccount(res *Reservation, now time.Time) {
	if len(d.owners.gateways) == 0 {
		return
	}
	owner := d.owners.ownerOf(res.server)
	if owner == res.account.owner || owner == d.opts.ID && res.account.owner == "" {
		return
	}
	if res.account.owner != "" {
		d.outbox.End(res.account.owner, res.account.id)
		d.scheduleNotice(res.account.owner, 0)
	}
	res.account = account{}
	if owner != d.opts.ID {
		d.beginUnadmitted(res, owner, now)
	}
}

// beginUnadmitted tells an owner about a request that is sent to its server without being admitted. d.mu must be held.
func (d *Dispatcher) beginUnadmitted(res *Reservation, owner string, now time.Time) {
	res.account = account{owner: owner, id: d.outbox.Begin(owner, res.server.ID, res.usedTokens, res.req.endsBy(now))}
	d.scheduleNotice(owner, 0)
}

// An account identifies a reservation in the account of a server's owner; zero if this gateway owns the server.
type account struct {
	owner string
	id    admission.ID
}

// defaultRequestTime bounds the time for which an owner counts a request without a deadline.
const defaultRequestTime = time.Minute

// endsBy returns when the request ends at the latest.
func (r *Request) endsBy(now time.Time) time.Time {
	if r.Deadline.IsZero() {
		return now.Add(defaultRequestTime)
	}
	// The response may still be read after the deadline.
	return r.Deadline.Add(time.Second)
}

// Expire drops what other gateways must have ended by now. It must be called regularly.
func (d *Dispatcher) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Expire(now)
	d.serveQueues()
}

// A CountedLoad is the load that the owner of a server counts there.
type CountedLoad struct {
	Server string
	// Running is the number of requests of all gateways, Slots the number of slots that may be used, Queued the number of
	// requests that wait.
	Running, Slots, Queued int
}

// CountedLoads returns the loads of the counted servers that this gateway owns, without idle ones, in order of their IDs.
func (d *Dispatcher) CountedLoads() []CountedLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := slices.Concat(d.ledger.Servers(), slices.Collect(maps.Keys(d.queues)))
	slices.Sort(ids)
	var list []CountedLoad
	for _, id := range slices.Compact(ids) {
		s, ok := d.servers.Server(id)
		if !ok || !d.owners.owns(s) {
			continue
		}
		x := CountedLoad{Server: id, Running: d.loadOf(id).Running + d.ledger.Load(id).Running, Slots: d.usableSlots(s)}
		if q := d.queues[id]; q != nil {
			x.Queued = q.order.Len()
		}
		if x.Running > 0 || x.Queued > 0 {
			list = append(list, x)
		}
	}
	return list
}

// usableSlots returns the number of requests that a server may have.
func (d *Dispatcher) usableSlots(s *backend.Server) int {
	if d.opts.CacheTokens(s.Service) == 0 {
		return plainSlots(s.Slots)
	}
	return max(int(d.opts.Utilization*float64(s.Slots)), 1)
}
