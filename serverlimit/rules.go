package serverlimit

import (
	"time"

	"rockcleat/quota"
)

const (
	// probeRate is the minimum rate of requests to a server with a limit, even if the limit is 0, in requests per
	// second. Without requests there would be no response that removes the limit.
	probeRate = 0.25
	// burstTime sets the burst size: one request plus the requests of burstTime at the rate of the limit. Without
	// a burst, a server would get less than its rate when requests arrive unevenly.
	burstTime = 250 * time.Millisecond
)

const (
	// minThrottledTime is how long a server must have had a limit before its adapters are loaded on other servers,
	// so that short limits cause no loads.
	minThrottledTime = 2 * time.Second
	// requestDuration is the approximate time that a request occupies a slot of an engine.
	requestDuration = 4 * time.Second
)

// IsThrottled reports whether a server has had a limit for at least minThrottledTime and the present limit is too low
// to keep the given number of slots busy.
func IsThrottled(s Status, slots int) bool {
	return s.LimitedFor >= minThrottledTime && s.PerSecond*requestDuration.Seconds() < float64(slots)
}

// Quota returns the limit on what all processes together send to a server that announced a rate.
func Quota(perSecond float64) quota.Limit {
	rate := max(perSecond, probeRate)
	return quota.Limit{Rate: rate, Burst: 1 + rate*burstTime.Seconds()}
}

// warmupShare is the fraction of the rate of a server that is warming up which is granted. Within one second the
// server may get the grants of that second, those that gateways prefetched (quota.GrantTTL), and the burst: together
// 1.75 times the granted rate and one request, which is below one and a half times the server's rate.
const warmupShare = 0.8

// WarmupQuota returns the limit on what all processes together send to a server that is warming up and accepts
// perSecond requests per second.
func WarmupQuota(perSecond float64) quota.Limit { return Quota(warmupShare * perSecond) }

// CountingWindow is the length of the time window in which the requests that a server receives are counted against
// its limit.
const CountingWindow = 4 * time.Second

// Tolerance returns by how much the Quota of a server may be exceeded. With it, a server receives in any
// CountingWindow at most one and a half times its limit and five requests.
func Tolerance() quota.Tolerance { return quota.Tolerance{Window: CountingWindow, Over: 0.4, Slack: 2} }
