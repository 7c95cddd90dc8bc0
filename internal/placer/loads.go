package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rockcleat/dispatch"
)

// maxTold bounds the servers whose load is told to a gateway: with more of them it
// hears of the busiest, and learns of the others when it asks for places.
const maxReportedServers = 64

// busiestEvery is how often the busiest servers are looked for.
const rankEvery = 100 * time.Millisecond

// A loads sums up what gateways have at servers.
type loads struct {
	total map[string]dispatch.Load
	// busiest are the servers that are told of when there are more than maxTold.
	busiest []string
	ranked  time.Time
}

func newLoads() loads { return loads{total: make(map[string]dispatch.Load)} }

// replace takes out what a gateway had and adds what it has now.
func (l *loads) update(before, now map[string]dispatch.Load) {
	for id, x := range before {
		sum := l.total[id]
		sum.Running -= x.Running
		sum.PrefillMs -= x.PrefillMs
		sum.UsedTokens -= x.UsedTokens
		if sum == (dispatch.Load{}) {
			delete(l.total, id)
			continue
		}
		l.total[id] = sum
	}
	for id, x := range now {
		sum := l.total[id]
		sum.Running += x.Running
		sum.PrefillMs += x.PrefillMs
		sum.UsedTokens += x.UsedTokens
		l.total[id] = sum
	}
}

// but returns what others than the gateway with these loads have at the servers,
// and whether only the busiest are told.
func (l *loads) excluding(own map[string]dispatch.Load, now time.Time) (others map[string]dispatch.Load, partial bool) {
	others = make(map[string]dispatch.Load, min(len(l.total), maxReportedServers))
	if len(l.total) <= maxReportedServers {
		for id := range l.total {
			l.addOthers(others, id, own[id])
		}
		return others, false
	}
	l.rankByRequests(now)
	for _, id := range l.busiest {
		l.addOthers(others, id, own[id])
	}
	return others, true
}

func (l *loads) addOthers(others map[string]dispatch.Load, id string, own dispatch.Load) {
	sum := l.total[id]
	sum.Running -= own.Running
	sum.PrefillMs -= own.PrefillMs
	sum.UsedTokens -= own.UsedTokens
	if sum != (dispatch.Load{}) {
		others[id] = sum
	}
}

// rank finds the servers with the most running requests.
func (l *loads) rankByRequests(now time.Time) {
	if now.Sub(l.ranked) < rankEvery {
		return
	}
	l.ranked = now
	l.busiest = l.busiest[:0]
	for id := range l.total {
		l.busiest = append(l.busiest, id)
	}
	slices.SortFunc(l.busiest, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.total[b].Running, l.total[a].Running), strings.Compare(a, b))
	})
	l.busiest = l.busiest[:min(len(l.busiest), maxReportedServers)]
}
