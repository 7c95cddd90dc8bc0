package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"rockcleat/clock/clocktest"
	"rockcleat/exchange"
	"rockcleat/internal/placer"
)

// A simulatedFleet simulates a leader and gateways that report to it at their normal interval, without a network.
type simulatedFleet[R any] struct {
	clock *clocktest.Clock
	// leader handles a report.
	leader func(exchange.Message[R]) *exchange.Reply[R]
	links  []*exchange.Link[R]
	// due holds the time of each gateway's next report.
	due      []time.Time
	interval time.Duration
	// bytes is the size of all exchanged messages as JSON.
	bytes int
}

func newSimulatedFleet[R any](c *clocktest.Clock, leader func(exchange.Message[R]) *exchange.Reply[R], links []*exchange.Link[R], r *rand.Rand) *simulatedFleet[R] {
	f := &simulatedFleet[R]{clock: c, leader: leader, links: links, interval: placer.ReportInterval(len(links))}
	for range links {
		f.due = append(f.due, c.Now().Add(time.Duration(r.Int64N(int64(f.interval)))))
	}
	return f
}

// reportSoon schedules an urgent report of a gateway.
func (f *simulatedFleet[R]) reportSoon(gateway int) {
	f.due[gateway] = f.clock.Now().Add(minReportInterval)
}

// step advances the clock by d and sends all due reports.
func (f *simulatedFleet[R]) step(d time.Duration) {
	f.clock.Advance(d)
	now := f.clock.Now()
	for i, link := range f.links {
		if now.Before(f.due[i]) {
			continue
		}
		f.due[i] = now.Add(f.interval)
		m := link.Message("leader")
		reply := f.leader(m)
		link.ApplyReply(reply)
		f.count(m, reply)
	}
}

// count adds the size of one exchange to f.bytes.
func (f *simulatedFleet[R]) count(m exchange.Message[R], reply *exchange.Reply[R]) {
	if len(m.Records) == 0 && reply == nil {
		return
	}
	sent, _ := json.Marshal(m)
	got, _ := json.Marshal(reply)
	f.bytes += len(sent) + len(got)
}
