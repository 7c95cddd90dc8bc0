package gateway

import (
	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// warmupLimits are the rate limits of servers that are warming up. Every gateway derives them from the list of servers
// and the configuration.
type warmupLimits struct {
	servers func() *backend.Snapshot
	// rate returns the rate limit that a service's servers have while they warm up; 0 if they have none.
	rate  func(service string) float64
	bound serverlimit.WarmupBound
	clock clock.Service
}

// any reports whether a server may be warming up.
func (l *warmupLimits) any() bool { return l.clock.Now().Before(l.servers().WarmUntil()) }

// limit returns what all gateways together may send to a server; ok is false if the server is not warming up or its
// service has no such limit.
func (l *warmupLimits) limit(server string) (limit quota.Limit, ok bool) {
	s, known := l.servers().Server(server)
	if !known || !l.clock.Now().Before(s.WarmUntil) {
		return quota.Limit{}, false
	}
	perSecond := l.rate(s.Service)
	if perSecond <= 0 {
		return quota.Limit{}, false
	}
	return serverlimit.WarmupQuota(perSecond, l.bound), true
}
