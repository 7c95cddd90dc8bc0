package gateway

import (
	"time"

	"rockcleat/departure"
)

// newDepartures returns the table of servers that announced that they are leaving. Each announcement takes effect at
// once in this gateway.
func (p *components) newDepartures(o Options) *departure.Table {
	return departure.New(departure.Options{Clock: o.Clock, OnAnnouncement: func(departure.Announcement) {
		p.servers.recheckLeaving()
	}})
}

// recheckLeaving applies changed announcements of servers that they are leaving.
func (s *serverList) recheckLeaving() {
	s.registry.Refresh(s.clock.Now())
	s.refresh()
}

// expireDepartures drops announcements of servers that are not listed any more.
func (g *Gateway) expireDepartures(time.Time) {
	listed := g.servers.registry.Snapshot()
	g.departures.Expire(func(server string) bool {
		_, ok := listed.Server(server)
		return ok
	})
}
