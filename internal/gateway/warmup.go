package gateway

import (
	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/table"
)

// warmupLimits are the rate limits of servers that are warming up. Every gateway derives them from the list of servers
// and the configuration.
type warmupLimits struct {
	servers func() *backend.Snapshot
	routing func() *table.Routing
	clock   clock.Service
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
	routing := l.routing()
	if routing == nil {
		return 0, false
	}
	service, _ := routing.Service(s.Service)
	return service.WarmupRate, service.WarmupRate > 0
}
