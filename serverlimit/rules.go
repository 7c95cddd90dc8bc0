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

// A WarmupBound bounds the requests that a server that is warming up gets from all processes in any second: at most
// Over times its rate, and Slack.
type WarmupBound struct {
	Over, Slack float64
}

const (
	// maxWarmupShare is the maximum fraction of the rate of a server that is warming up which is granted.
	maxWarmupShare = 0.8
	// grantTimePerSecond is the time, in seconds, whose grants a server may get within one second: those of that
	// second, those that gateways prefetched (quota.GrantTTL), and burstTime. One request of the burst comes on top.
	grantTimePerSecond = 1 + 0.5 + 0.25
)

// WarmupQuota returns the limit on what all processes together send to a server that is warming up and accepts
// perSecond requests per second. With the zero bound it grants maxWarmupShare.
func WarmupQuota(perSecond float64, bound WarmupBound) quota.Limit {
	rate := maxWarmupShare * perSecond
	if bound.Over > 0 {
		rate = min(rate, (bound.Over*perSecond+bound.Slack-1)/grantTimePerSecond)
	}
	return Quota(rate)
}

// CountingWindow is the length of the time window in which the requests that a server receives are counted against
// its limit.
const CountingWindow = 4 * time.Second

// Tolerance returns by how much the Quota of a server may be exceeded. With it, a server receives in any
// CountingWindow at most one and a half times its limit and five requests.
func Tolerance() quota.Tolerance { return quota.Tolerance{Window: CountingWindow, Over: 0.4, Slack: 2} }
