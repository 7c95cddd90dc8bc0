package quota

import (
	"maps"
	"slices"
	"time"

	"rockcleat/rendezvous"
)

// Times of gateways. Why they are as they are: docs/design/0014.
const (
	// OwnerTime is how long after it asked a leader that replied a gateway has the parts of all gateways on
	// the leader's list: less than the two seconds after which the leader takes a gateway that does not
	// report off the list.
	OwnerTime = 1800 * time.Millisecond
	// AloneTime is how long after that gateways go on without a leader. It is longer than the time without
	// one after the leader's loss, and than that for which a configuration may be relied on that nobody
	// confirms.
	AloneTime = 8 * time.Second
	// lendTime is for how long a gateway's part is with an owner that it has asked.
	// Where it is longer, two owners have the part at once for too long.
	lendTime = time.Second
	// maxGrace bounds the time for which an owner without a leader goes on with the parts of all, by what
	// the Tolerance allows an organisation beyond its limit.
	maxGrace = 2 * time.Second
	// graceShare is the part of the Tolerance that one owner may use up in this way: several may lose the leader
	// one after the other.
	graceShare = 0.1
)

// A Tolerance is what an organisation may have run beyond its limit in any window: Over times what the limit
// allows in it, and Slack. The zero Tolerance allows nothing.
type Tolerance struct {
	Window time.Duration
	Over   float64
	// Slack is in the limit's unit.
	Slack float64
}

// grace returns for how long a limit's whole rate may be granted twice within the Tolerance.
func (t Tolerance) grace(l Limit) time.Duration {
	extra := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	return min(time.Duration(graceShare*extra/l.Rate*float64(time.Second)), maxGrace)
}

// An Absence is what a leader knows of gateways that may spend their parts although they do not report to it.
type Absence struct {
	// Lapsed is the number of those that went off its list lately, Awaited that of those on the list that were
	// there before its term and have not reported in it.
	Lapsed  int `json:"lapsed,omitempty"`
	Awaited int `json:"awaited,omitempty"`
}

// A fleet is what a gateway knows of the others.
type fleet struct {
	self string
	// ids are the gateways of the last list, none at first.
	ids []string
	// owners remembers the owner of each organisation.
	owners map[string]string
	// lapsed is when gateways went off the list: each may spend its part for a while.
	lapsed map[string]time.Time
	// absence is what the leader said last: a gateway that has started anew does not know who has lapsed.
	absence Absence
	// askedAt is when each gateway on the list last asked this one.
	askedAt map[string]time.Time
	// sureUntil is until when this gateway has the parts of all on the list.
	sureUntil time.Time
	// wasAlone says that it had not been sure before the leader was heard last.
	wasAlone bool
}

func newFleet(self string, now time.Time) fleet {
	return fleet{
		self: self, owners: make(map[string]string), lapsed: make(map[string]time.Time), askedAt: make(map[string]time.Time),
		sureUntil: now,
	}
}

// heard notes that a leader replied to what it was asked at a time.
func (f *fleet) heard(asked time.Time, a Absence) {
	f.absence = a
	f.wasAlone = asked.After(f.sureUntil)
	f.sureUntil = asked.Add(OwnerTime)
}

// set sets the list of gateways.
func (f *fleet) set(ids []string, now time.Time) {
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		delete(f.lapsed, id)
	}
	for _, id := range f.ids {
		if !listed[id] {
			f.lapsed[id] = now
		}
	}
	maps.DeleteFunc(f.askedAt, func(id string, _ time.Time) bool { return !listed[id] })
	f.ids, f.owners = ids, make(map[string]string)
}

// noteFormer notes gateways that were there before this one knew any: those not on the list have lapsed.
func (f *fleet) noteFormer(ids []string, now time.Time) {
	for _, id := range ids {
		if !slices.Contains(f.ids, id) {
			f.lapsed[id] = now
		}
	}
}

// owner returns the gateway that grants for an organisation; empty while no list is known.
func (f *fleet) owner(organisation string) string {
	id, ok := f.owners[organisation]
	if !ok {
		id = rendezvous.Owner(f.ids, rendezvous.Key(organisation))
		f.owners[organisation] = id
	}
	return id
}

// countLapsed returns the number of gateways that went off the list lately.
func (f *fleet) countLapsed(now time.Time) int {
	for id, at := range f.lapsed {
		if now.Sub(at) > AloneTime {
			delete(f.lapsed, id)
		}
	}
	return len(f.lapsed)
}

// size returns the number of gateways that have a part: those listed and those that lapsed.
func (f *fleet) size(now time.Time) int {
	return len(f.ids) + max(f.countLapsed(now), f.absence.Lapsed)
}

// noteAsked notes that a gateway asked this one, if it is on the list.
func (f *fleet) noteAsked(id string, now time.Time) {
	if slices.Contains(f.ids, id) {
		f.askedAt[id] = now
	}
}

// lenders returns the number of gateways whose part this one has by their asking, its own among them. Only those
// on the list have one.
func (f *fleet) lenders(now time.Time) int {
	n := 0
	for _, id := range f.ids {
		at, asked := f.askedAt[id]
		if id == f.self || asked && now.Sub(at) <= lendTime {
			n++
		}
	}
	return n
}

// isSure reports whether this gateway has the parts of all on the list.
func (f *fleet) isSure(now time.Time) bool { return now.Before(f.sureUntil) }

// share returns the part of a limit's rate that this gateway grants as its owner, 0 to 1.
func (f *fleet) share(l Limit, t Tolerance, now time.Time) float64 {
	size := float64(f.size(now))
	if size == 0 {
		return 0
	}
	listed := float64(max(len(f.ids)-f.absence.Awaited, 1)) / size
	switch {
	case now.Before(f.sureUntil.Add(t.grace(l))):
		return listed
	case now.Before(f.sureUntil.Add(AloneTime)):
		return min(listed, float64(f.lenders(now))/size)
	}
	return 0
}

// ownPart returns the part of a rate that this gateway spends while it reaches no owner, 0 to 1: none if it is not
// on the list, so that those on it do not leave it one.
func (f *fleet) ownPart(now time.Time) float64 {
	if !slices.Contains(f.ids, f.self) || !now.Before(f.sureUntil.Add(AloneTime)) {
		return 0
	}
	return 1 / float64(f.size(now))
}
