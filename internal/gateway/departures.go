package gateway

import (
	"time"

	"rockcleat/departure"
)

// newDepartures returns the table of servers that announced that they are leaving. Each announcement takes effect at
// once in this gateway. One that a server made to this gateway triggers an immediate report to the leader, whose reply
// to the next report of each other gateway passes it on.
func (p *components) newDepartures(o Options) *departure.Table {
	return departure.New(departure.Options{Clock: o.Clock, OnAnnouncement: func(a departure.Announcement) {
		p.servers.recheckLeaving()
		if a.Origin == departure.OriginLocal {
			p.urgent.send()
			return
		}
		p.requestLog.departure(a)
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
