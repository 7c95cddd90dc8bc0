package quota

import (
	"maps"
	"slices"
	"time"

	"rockcleat/rendezvous"
)

// Timing of ownership; see docs/design/0014.
const (
	// OwnerTime is how long a gateway has the shares of all listed gateways, counted from when it sent the
	// last request that a leader answered. It must be shorter than the two seconds after which the leader
	// removes a gateway that does not report.
	OwnerTime = 1800 * time.Millisecond
	// AloneTime is how long after that a gateway continues without a leader. It is longer than the time to
	// replace a failed leader, and longer than the time for which an unconfirmed configuration may be used.
	AloneTime = 8 * time.Second
	// delegationTime is how long a gateway's share stays with an owner that it has asked. A longer time would
	// let two owners have the share at once for too long.
	delegationTime = time.Second
	// maxGrace bounds the time for which an owner without a leader keeps the shares of all gateways under the
	// Tolerance.
	maxGrace = 2 * time.Second
	// graceShare is the fraction of the Tolerance that one owner may use for this. Several owners can lose
	// the leader one after another.
	graceShare = 0.1
)

// A Tolerance is the amount by which an organisation may exceed its limit in any window of length Window: the
// fraction Over of what the limit permits in the window, plus Slack. The zero Tolerance permits no excess.
type Tolerance struct {
	Window time.Duration
	Over   float64
	// Slack is in the limit's unit.
	Slack float64
}

// grace returns how long the full rate may be granted twice within the Tolerance.
func (t Tolerance) grace(l Limit) time.Duration {
	excess := t.Over*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
	return min(time.Duration(graceShare*excess/l.Rate*float64(time.Second)), maxGrace)
}

// An Absence is the leader's count of gateways that do not report to it but may be spending their shares.
type Absence struct {
	// Lapsed is the number of gateways recently removed from the leader's list. Awaited is the number of
	// listed gateways that were known before the leader's term and have not reported in it.
	Lapsed  int `json:"lapsed,omitempty"`
	Awaited int `json:"awaited,omitempty"`
}

// A fleet is a gateway's view of all gateways.
type gatewaySet struct {
	self string
	// gatewayIDs lists the gateways in the leader's last list; initially empty.
	gatewayIDs []string
	// owners caches the owner of each organisation.
	owners map[string]string
	// removed holds the gateways recently removed from the list and when they were. Each may go on spending
	// its share for AloneTime.
	removed map[string]time.Time
	// absence is the last Absence received from a leader. A gateway that has restarted does not know itself
	// which gateways were removed.
	absence Absence
	// askedAt is when each listed gateway last requested a grant from this one.
	askedAt map[string]time.Time
	// confirmedUntil is the time until which this gateway has the shares of all listed gateways.
	confirmedUntil time.Time
	// wasUnconfirmed is set if confirmedUntil had passed when the last request that a leader answered was sent.
	wasUnconfirmed bool
}

func newGatewaySet(self string, now time.Time) gatewaySet {
	return gatewaySet{
		self: self, owners: make(map[string]string), removed: make(map[string]time.Time), askedAt: make(map[string]time.Time),
		confirmedUntil: now,
	}
}

// recordLeaderReply records that a leader replied to a request sent at a time.
func (f *gatewaySet) recordLeaderReply(sentAt time.Time, a Absence) {
	f.absence = a
	f.wasUnconfirmed = sentAt.After(f.confirmedUntil)
	f.confirmedUntil = sentAt.Add(OwnerTime)
}

// setGateways replaces the list of gateways.
func (f *gatewaySet) setGateways(ids []string, now time.Time) {
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		delete(f.removed, id)
	}
	for _, id := range f.gatewayIDs {
		if !listed[id] {
			f.removed[id] = now
		}
	}
	maps.DeleteFunc(f.askedAt, func(id string, _ time.Time) bool { return !listed[id] })
	f.gatewayIDs, f.owners = ids, make(map[string]string)
}

// addFormer records gateways known before this process had a list. Those not listed count as recently
// removed.
func (f *gatewaySet) addFormer(ids []string, now time.Time) {
	for _, id := range ids {
		if !slices.Contains(f.gatewayIDs, id) {
			f.removed[id] = now
		}
	}
}

// owner returns the gateway that makes grants for an organisation, or an empty string if there is no list
// yet.
func (f *gatewaySet) owner(organisation string) string {
	id, ok := f.owners[organisation]
	if !ok {
		id = rendezvous.Owner(f.gatewayIDs, rendezvous.Key(organisation))
		f.owners[organisation] = id
	}
	return id
}

// countRemoved returns the number of gateways recently removed from the list.
func (f *gatewaySet) countRemoved(now time.Time) int {
	for id, at := range f.removed {
		if now.Sub(at) > AloneTime {
			delete(f.removed, id)
		}
	}
	return len(f.removed)
}

// size returns the number of gateways that have a share: those listed and those recently removed.
func (f *gatewaySet) size(now time.Time) int {
	return len(f.gatewayIDs) + max(f.countRemoved(now), f.absence.Lapsed)
}

// recordRequest records that a gateway requested a grant from this one, if it is listed.
func (f *gatewaySet) recordRequest(id string, now time.Time) {
	if slices.Contains(f.gatewayIDs, id) {
		f.askedAt[id] = now
	}
}

// countDelegators returns the number of gateways whose share this gateway has: those that asked it recently,
// and itself. Gateways that are not listed have no share.
func (f *gatewaySet) countDelegators(now time.Time) int {
	n := 0
	for _, id := range f.gatewayIDs {
		at, asked := f.askedAt[id]
		if id == f.self || asked && now.Sub(at) <= delegationTime {
			n++
		}
	}
	return n
}

// isConfirmed reports whether this gateway has the shares of all listed gateways.
func (f *gatewaySet) isConfirmed(now time.Time) bool { return now.Before(f.confirmedUntil) }

// share returns the share of a limit's rate that this gateway grants as its owner, 0 to 1.
func (f *gatewaySet) share(l Limit, t Tolerance, now time.Time) float64 {
	size := float64(f.size(now))
	if size == 0 {
		return 0
	}
	listed := float64(max(len(f.gatewayIDs)-f.absence.Awaited, 1)) / size
	switch {
	case now.Before(f.confirmedUntil.Add(t.grace(l))):
		return listed
	case now.Before(f.confirmedUntil.Add(AloneTime)):
		return min(listed, float64(f.countDelegators(now))/size)
	}
	return 0
}

// ownShare returns the share of a rate that this gateway may spend while it cannot reach an owner, 0 to 1. It
// is 0 for a gateway that is not listed, because the listed ones leave no share for it.
func (f *gatewaySet) ownShare(now time.Time) float64 {
	if !slices.Contains(f.gatewayIDs, f.self) || !now.Before(f.confirmedUntil.Add(AloneTime)) {
		return 0
	}
	return 1 / float64(f.size(now))
}
