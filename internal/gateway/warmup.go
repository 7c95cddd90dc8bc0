package gateway

import (
	"rockcleat/backend"
	"rockcleat/clock"
)

// warmupLimits are the rate limits of servers that are warming up. Every gateway derives them from the list of servers
// and the configuration.
type warmupLimits struct {
	servers func() *backend.Snapshot
	// rate returns the rate limit that a service's servers have while they warm up; 0 if they have none.
	rate  func(service string) float64
	clock clock.Service
}

// any reports whether a server may be warming up.
func (l *warmupLimits) any() bool { return l.clock.Now().Before(l.servers().WarmUntil()) }

// limit returns the rate limit of a server in requests per second; ok is false if the server is not warming up or its
// service has no such limit.
func (l *warmupLimits) limit(server string) (perSecond float64, ok bool) {
	s, known := l.servers().Server(server)
	if !known || !l.clock.Now().Before(s.WarmUntil) {
		return 0, false
	}
	perSecond = l.rate(s.Service)
	return perSecond, perSecond > 0
}
