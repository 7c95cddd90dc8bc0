package admission

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleets are the numbers of gateways that the bounds are checked at. A case has several simulations of small numbers, since
// faults in the order of calls need many cases to be found but few gateways.
var fleets = []struct{ gateways, simulations int }{{6, 20}, {30, 8}, {103, 3}, {356, 1}, {712, 1}}

// checkFleets checks a property at all numbers of gateways.
func checkFleets(t *testing.T, actions []action) {
	for _, fleet := range fleets {
		t.Run(fmt.Sprint(fleet.gateways, " gateways"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				for range fleet.simulations {
					simulate(t, fleet.gateways, actions)
				}
			})
		})
	}
}

// simulate draws steps, checks the bounds after each of them, and that the account is exact in the end.
func simulate(t *rapid.T, gateways int, actions []action) {
	s := newSimulation(t, gateways)
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		a := rapid.SampledFrom(actions).Draw(t, "action")
		a.do(s)
		s.checkBounds()
	}
	s.settle()
	s.checkExact()
	s.checkDeadSenders()
}

// TestBoundsWithLossAndReordering guards against a request that an owner counts twice, after its end or not at all, and
// against more admissions than slots, when calls are lost, duplicated, delayed and reordered.
func TestBoundsWithLossAndReordering(t *testing.T) { checkFleets(t, ordinary) }

// TestBoundsWithSenderDeaths guards against requests of a process that has died, which would take slots for ever, and
// against late calls of such a process that replace what its successor has running.
func TestBoundsWithSenderDeaths(t *testing.T) {
	checkFleets(t, append(append([]action{}, ordinary...), senderDeaths...))
}

// TestBoundsWithOwnerDeaths guards against an account that stays wrong after an owner was restarted, has dropped a sender
// that is running, or was dropped by a sender.
func TestBoundsWithOwnerDeaths(t *testing.T) {
	checkFleets(t, append(append(append([]action{}, ordinary...), senderDeaths...), ownerDeaths...))
}

// checkBounds checks the bounds that hold at all times.
func (s *simulation) checkBounds() {
	for _, o := range s.owners {
		for _, x := range s.senders {
			if x.alive && !o.forgotten[x] {
				s.checkPhantoms(o, x)
				s.checkMissing(o, x)
			}
			s.checkState(o, x)
		}
		if !o.changed {
			s.checkSlots(o)
		}
	}
}

// checkPhantoms checks that all load that an owner counts exists, or its end is going to be reported.
func (s *simulation) checkPhantoms(o *simOwner, x *simSender) {
	c, out := o.channelOf(x), x.box.channel(o.name)
	for id := range c.open {
		_, open := out.open[id]
		_, ended := out.ended[id]
		assert.Assert(s.t, open || ended, "%s counts %s/%d, which has ended", o.name, x.gateway, id)
	}
}

// checkMissing checks that an owner counts all running requests but those whose notice is in transit.
func (s *simulation) checkMissing(o *simOwner, x *simSender) {
	c, out := o.channelOf(x), x.box.channel(o.name)
	for _, k := range x.keys(func(r *simRequest) bool { return r.running }) {
		if k.owner != o || out.open[k.id].unadmitted {
			continue
		}
		_, counted := c.open[k.id]
		assert.Assert(s.t, counted && c.epoch == x.epoch, "%s does not count %s/%d", o.name, x.gateway, k.id)
	}
}

// checkSlots checks that no more requests run than there are slots, but those sent without admission.
func (s *simulation) checkSlots(o *simOwner) {
	running := make(map[string]int)
	for _, x := range s.senders {
		for _, r := range x.requests {
			if r.running && r.admittedBy == o.ledger {
				running[r.entry.Server]++
			}
		}
	}
	for server, n := range running {
		assert.Assert(s.t, n <= o.slots, "%d admitted requests run at %s, which has %d slots", n, server, o.slots)
	}
}

// checkState checks that a channel holds no more than the IDs from its floor on that were assigned.
func (s *simulation) checkState(o *simOwner, x *simSender) {
	c := o.channelOf(x)
	if c.epoch != x.epoch {
		return
	}
	held, assigned := len(c.open)+len(c.ended), x.box.channel(o.name).next-max(c.floor, 1)
	assert.Assert(s.t, held <= int(assigned), "%s holds %d IDs of %s, %d are assigned", o.name, held, x.gateway, assigned)
}

// settle delivers all calls and has each sender report what is pending. Admissions without a reply are given up. An owner
// that has lost its state learns of it from the next message.
func (s *simulation) settle() {
	s.deliverAll()
	for _, x := range s.senders {
		for _, k := range x.keys(func(r *simRequest) bool { return !r.running }) {
			s.end(x, k)
		}
	}
	for _, o := range s.owners {
		for _, x := range s.senders {
			if x.alive && o.forgotten[x] {
				s.send(x, o)
				s.deliverAll()
			}
			for range 4 {
				if x.alive {
					s.notify(x, o)
					s.deliverAll()
				}
			}
		}
	}
	s.list()
	s.deliverAll()
}

func (s *simulation) deliverAll() {
	for len(s.flight) > 0 {
		s.deliverAny(false)
	}
}

// checkExact checks that each owner counts what runs, and nothing else.
func (s *simulation) checkExact() {
	for _, o := range s.owners {
		want := make(map[string]Load)
		for _, x := range s.senders {
			assert.Assert(s.t, !x.alive || !x.box.IsPending(o.name), "%s has something to report to %s", x.gateway, o.name)
			for k, r := range x.requests {
				if k.owner == o && r.running {
					sum := want[r.entry.Server]
					want[r.entry.Server] = Load{Running: sum.Running + 1, Tokens: sum.Tokens + r.entry.Tokens}
				}
			}
		}
		if n := s.passive; n > 0 && o == s.owners[0] {
			want["unlimited"] = Load{Running: n, Tokens: n}
		}
		assert.Assert(s.t, maps.Equal(o.ledger.loads, want), "%s counts %v, %v runs", o.name, o.ledger.loads, want)
	}
}

// checkDeadSenders checks that nothing is counted for senders that are no longer listed, or after the TTL of all entries.
func (s *simulation) checkDeadSenders() {
	byList := rapid.Bool().Draw(s.t, "by list")
	for _, o := range s.owners {
		if byList {
			o.ledger.RetainSenders(func(string) bool { return false })
			assert.Equal(s.t, len(o.ledger.channels), 0)
		} else {
			o.ledger.Expire(s.now.Add(time.Hour))
		}
		assert.Equal(s.t, len(o.ledger.Servers()), 0)
	}
}
