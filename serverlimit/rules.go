package serverlimit

import (
	"time"

	"rockcleat/quota"
)

const (
	// probeRate is the least rate at which servers in need get requests, in requests a second: only an answer
	// says that a limit has ended, also one of zero.
	probeRate = 0.25
	// burstTime is the time of a limit's rate that may be sent at once, beside one request: a server gets its
	// rate although requests do not come evenly.
	burstTime = 250 * time.Millisecond
)

const (
	// needTime is how long a limit has stood before adapters are loaded elsewhere for it: one that comes and goes
	// moves none.
	needTime = 2 * time.Second
	// slotTime is about how long a request holds a slot of an engine.
	slotTime = 4 * time.Second
)

// IsInNeed reports whether a server with a number of slots takes too few requests for the slots to be taken, and has
// for needTime.
func IsInNeed(s Status, slots int) bool {
	return s.Since >= needTime && s.PerSecond*slotTime.Seconds() < float64(slots)
}

// Quota returns the limit by which all processes together send to a server that named a rate.
func Quota(perSecond float64) quota.Limit {
	rate := max(perSecond, probeRate)
	return quota.Limit{Rate: rate, Burst: 1 + rate*burstTime.Seconds()}
}

// Window is the time in which the users count what a server gets.
const Window = 4 * time.Second

// Tolerance returns what may reach a server beyond its Quota: with it, in any Window at most one and a half times
// what the server named and five requests.
func Tolerance() quota.Tolerance { return quota.Tolerance{Window: Window, Over: 0.4, Slack: 2} }
