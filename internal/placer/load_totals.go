package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"rockcleat/dispatch"
)

// Limits of the loads in a reply.
const (
	// maxReportedServers is the maximum number of servers in a reply. If there are more, the reply lists the
	// busiest; a gateway learns the load of another server when it requests admission there.
	maxReportedServers = 64
	// rankEvery is the minimum interval between two rankings of the servers.
	rankEvery = 100 * time.Millisecond
)

// A loads is the total load of all gateways at each server.
type loads struct {
	total map[string]dispatch.Load
	// busiest lists the servers in a reply if there are more than maxReportedServers.
	busiest []string
	ranked  time.Time
}

func newLoads() loads { return loads{total: make(map[string]dispatch.Load)} }

// update replaces a gateway's previous loads by its new ones.
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

func minus(l, part dispatch.Load) dispatch.Load {
	l.Running -= part.Running
	l.PrefillMs -= part.PrefillMs
	l.UsedTokens -= part.UsedTokens
	return l
}

// excluding returns the total loads without those of one gateway, and whether only the busiest servers are
// listed.
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

// rankByRequests updates the list of servers with the most running requests.
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
