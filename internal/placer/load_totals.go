package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rockcleat/dispatch"
)

// Bounds of the loads in a reply.
const (
	// maxReportedServers bounds the servers whose load a gateway is sent: with more of
	// them it gets the busiest, and learns of the others when it asks for admission.
	maxReportedServers = 64
	// rankEvery is how often the busiest servers are looked for.
	rankEvery = 100 * time.Millisecond
)

// A loads sums up what gateways have at servers.
type loads struct {
	total map[string]dispatch.Load
	// busiest are the servers in a reply when there are more than maxReportedServers.
	busiest []string
	ranked  time.Time
}

func newLoads() loads { return loads{total: make(map[string]dispatch.Load)} }

// update subtracts what a gateway had and adds what it has now.
func (l *loads) update(before, now map[string]dispatch.Load) {
	for id, x := range before {
		sum := minus(l.total[id], x)
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

// minus subtracts exactly: what is summed up was added before.
func minus(l, part dispatch.Load) dispatch.Load {
	l.Running -= part.Running
	l.PrefillMs -= part.PrefillMs
	l.UsedTokens -= part.UsedTokens
	return l
}

// excluding returns what others than the gateway with these loads have at the servers, and
// whether only the busiest servers are listed.
func (l *loads) excluding(own map[string]dispatch.Load, now time.Time) (others map[string]dispatch.Load, busiestOnly bool) {
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
	if sum := minus(l.total[id], own); sum != (dispatch.Load{}) {
		others[id] = sum
	}
}

// rankByRequests finds the servers with the most running requests.
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
