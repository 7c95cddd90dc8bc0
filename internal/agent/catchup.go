package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/inventory"
	"rockcleat/internal/wire"
)

// fetchTableTimeout bounds the reading of the list of VMs. It also bounds the time until an entry
// starts to respond to a request for a newer table, and then each pause in its response.
const fetchTableTimeout = time.Second

// fetchNewerTable fetches the table from the entry that sent the request if the entry's version is
// newer, so that the agent gets a table even if no planner contacts it. The request waits for the
// table only if the agent has none.
func (a *Agent) fetchNewerTable(req *http.Request) {
	version, err := strconv.ParseUint(req.Header.Get(wire.HeaderTableVersion), 10, 64)
	own := a.replica.Current().Version()
	if err != nil || version <= own || !a.fetchingTable.CompareAndSwap(false, true) {
		return
	}
	addr := req.Header.Get(wire.HeaderEntry)
	if own > 0 {
		go a.fetchTable(addr)
		return
	}
	a.fetchTable(addr)
}

// Parameters of the detection of missing contact with a planner.
const (
	// contactCheckInterval is the interval of the checks for contact with a planner.
	contactCheckInterval = time.Second
	// contactTimeout is the time without an exchange after which the agent fetches the table from
	// an entry by itself. It exceeds the maximum exchange interval of 10 s and is short enough for
	// an edit to be in force within 14 s.
	contactTimeout = 12 * time.Second
)

// stepPlannerContact fetches the table from an entry chosen at random if no planner has contacted
// the agent for contactTimeout. This happens if the planner fails while the key-value service is
// unavailable. The agent reads the whole list of VMs each time, since it does not follow the list.
func (a *Agent) stepPlannerContact(now time.Time) {
	a.mu.Lock()
	sinceExchange := now.Sub(a.planner.lastExchange)
	a.mu.Unlock()
	if a.vms == nil || sinceExchange < contactTimeout || !a.fetchingTable.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTableTimeout)
	defer cancel()
	l, err := a.vms.Changes(ctx, 0)
	if err != nil {
		a.fetchingTable.Store(false)
		a.log.Debug("reading the list of VMs failed", zap.Error(err))
		return
	}
	entries := slices.DeleteFunc(l.VMs, func(vm inventory.VM) bool {
		return vm.Role != inventory.RoleEntry || vm.State != inventory.VMLive
	})
	if len(entries) == 0 {
		a.fetchingTable.Store(false)
		return
	}
	a.fetchTable(entries[rand.IntN(len(entries))].Control)
}

// fetchTable fetches a newer table from the entry at addr and clears fetchingTable.
func (a *Agent) fetchTable(addr string) {
	defer a.fetchingTable.Store(false)
	var resp wire.SyncResponse
	r := wire.SyncRequest{From: a.settings.ID, Table: a.replica.Current().Version(), TableOnly: true}
	if err := a.entryClient.PostWithStallTimeout(context.Background(), fetchTableTimeout, addr, wire.PathSync, r, &resp); err != nil {
		a.log.Debug("fetching the table from an entry failed", zap.Error(err))
		return
	}
	if a.replica.Merge(resp.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()), zap.String("from", "entry"))
	}
}
