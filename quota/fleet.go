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
	// maxGrace bounds the additional time in which the Tolerance lets an owner without a leader keep the
	// shares of all listed gateways.
	maxGrace = 2 * time.Second
	// graceShare is the fraction of the Tolerance that one owner may use for that additional time. Several
	// owners can lose the leader one after another.
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

// A gatewaySet is a gateway's view of all gateways.
type gatewaySet struct {
	self string
	// gatewayIDs is the leader's last list of gateways. It is empty at first.
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

// recordLeaderReply records that a leader replied to a request sent at the given time.
func (s *gatewaySet) recordLeaderReply(sentAt time.Time, a Absence) {
	s.absence = a
	s.wasUnconfirmed = sentAt.After(s.confirmedUntil)
	s.confirmedUntil = sentAt.Add(OwnerTime)
}

// setGateways replaces the list of gateways.
func (s *gatewaySet) setGateways(ids []string, now time.Time) {
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		delete(s.removed, id)
	}
	for _, id := range s.gatewayIDs {
		if !listed[id] {
			s.removed[id] = now
		}
	}
	maps.DeleteFunc(s.askedAt, func(id string, _ time.Time) bool { return !listed[id] })
	s.gatewayIDs, s.owners = ids, make(map[string]string)
}

// addFormer records gateways known before this process started. Those not listed count as recently removed.
func (s *gatewaySet) addFormer(ids []string, now time.Time) {
	for _, id := range ids {
		if !slices.Contains(s.gatewayIDs, id) {
			s.removed[id] = now
		}
	}
}

// owner returns the gateway that makes grants for an organisation, or an empty string if there is no list
// yet.
func (s *gatewaySet) owner(organisation string) string {
	id, ok := s.owners[organisation]
	if !ok {
		id = rendezvous.Owner(s.gatewayIDs, rendezvous.Key(organisation))
		s.owners[organisation] = id
	}
	return id
}

// countRemoved returns the number of gateways recently removed from the list.
func (s *gatewaySet) countRemoved(now time.Time) int {
	for id, at := range s.removed {
		if now.Sub(at) > AloneTime {
			delete(s.removed, id)
		}
	}
	return len(s.removed)
}

// size returns the number of gateways that have a share: those listed and those recently removed.
func (s *gatewaySet) size(now time.Time) int {
	return len(s.gatewayIDs) + max(s.countRemoved(now), s.absence.Lapsed)
}

// recordRequest records that a gateway requested a grant from this one, if it is listed.
func (s *gatewaySet) recordRequest(id string, now time.Time) {
	if slices.Contains(s.gatewayIDs, id) {
		s.askedAt[id] = now
	}
}

// countDelegators returns the number of gateways whose share this gateway has: those that asked it recently,
// and itself. Gateways that are not listed have no share.
func (s *gatewaySet) countDelegators(now time.Time) int {
	n := 0
	for _, id := range s.gatewayIDs {
		at, asked := s.askedAt[id]
		if id == s.self || asked && now.Sub(at) <= delegationTime {
			n++
		}
	}
	return n
}

// isConfirmed reports whether this gateway has the shares of all listed gateways.
func (s *gatewaySet) isConfirmed(now time.Time) bool { return now.Before(s.confirmedUntil) }

// share returns the share of a limit's rate that this gateway grants as its owner, 0 to 1.
func (s *gatewaySet) share(l Limit, t Tolerance, now time.Time) float64 {
	size := float64(s.size(now))
	if size == 0 {
		return 0
	}
	listed := float64(max(len(s.gatewayIDs)-s.absence.Awaited, 1)) / size
	switch {
	case now.Before(s.confirmedUntil.Add(t.grace(l))):
		return listed
	case now.Before(s.confirmedUntil.Add(AloneTime)):
		return min(listed, float64(s.countDelegators(now))/size)
	}
	return 0
}

// ownShare returns the share of a rate that this gateway may spend while it cannot reach an owner, 0 to 1. It
// is 0 for a gateway that is not listed, because the listed ones leave no share for it.
func (s *gatewaySet) ownShare(now time.Time) float64 {
	if !slices.Contains(s.gatewayIDs, s.self) || !now.Before(s.confirmedUntil.Add(AloneTime)) {
		return 0
	}
	return 1 / float64(s.size(now))
}
