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
	// rankInterval is the minimum interval between two rankings of the servers.
	rankInterval = 100 * time.Millisecond
)

// A loadTotals holds the total load of all gateways at each server.
type loadTotals struct {
	byServer map[string]dispatch.Load
	// busiest lists the servers in a reply if there are more than maxReportedServers.
	busiest  []string
	rankedAt time.Time
}

func newLoadTotals() loadTotals { return loadTotals{byServer: make(map[string]dispatch.Load)} }

// update replaces a gateway's previous loads by its new ones.
func (l *loadTotals) update(previous, current map[string]dispatch.Load) {
	for id, load := range previous {
		sum := subtractLoad(l.byServer[id], load)
		if sum == (dispatch.Load{}) {
			delete(l.byServer, id)
			continue
		}
		l.byServer[id] = sum
	}
	for id, load := range current {
		sum := l.byServer[id]
		sum.Running += load.Running
		sum.PrefillMs += load.PrefillMs
		sum.UsedTokens += load.UsedTokens
		l.byServer[id] = sum
	}
}

func subtractLoad(l, other dispatch.Load) dispatch.Load {
	l.Running -= other.Running
	l.PrefillMs -= other.PrefillMs
	l.UsedTokens -= other.UsedTokens
	return l
}

// excluding returns the total loads without those of one gateway, and whether only the busiest servers are
// listed.
func (l *loadTotals) excluding(own map[string]dispatch.Load, now time.Time) (others map[string]dispatch.Load, busiestOnly bool) {
	others = make(map[string]dispatch.Load, min(len(l.byServer), maxReportedServers))
	if len(l.byServer) <= maxReportedServers {
		for id := range l.byServer {
			l.addOthers(others, id, own[id])
		}
		return others, false
	}
	l.rankServers(now)
	for _, id := range l.busiest {
		l.addOthers(others, id, own[id])
	}
	return others, true
}

func (l *loadTotals) addOthers(others map[string]dispatch.Load, id string, own dispatch.Load) {
	if sum := subtractLoad(l.byServer[id], own); sum != (dispatch.Load{}) {
		others[id] = sum
	}
}

// rankServers updates the list of servers with the most running requests.
func (l *loadTotals) rankServers(now time.Time) {
	if now.Sub(l.rankedAt) < rankInterval {
		return
	}
	l.rankedAt = now
	l.busiest = l.busiest[:0]
	for id := range l.byServer {
		l.busiest = append(l.busiest, id)
	}
	slices.SortFunc(l.busiest, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.byServer[b].Running, l.byServer[a].Running), strings.Compare(a, b))
	})
	l.busiest = l.busiest[:min(len(l.busiest), maxReportedServers)]
}
