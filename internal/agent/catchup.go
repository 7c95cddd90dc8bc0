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

// catchUpTimeout bounds the reading of the list of VMs. It also bounds the time until an entry
// starts to respond to a request for a newer table, and then each pause in its response.
const catchUpTimeout = time.Second

// catchUp fetches the table from the entry that sent the request if the entry's version is newer.
// So the agent gets a table even if no planner contacts it. The request waits for the table only if
// the agent has none.
func (a *Agent) catchUp(req *http.Request) {
	version, err := strconv.ParseUint(req.Header.Get(wire.HeaderTableVersion), 10, 64)
	own := a.replica.Current().Version()
	if err != nil || version <= own || !a.catching.CompareAndSwap(false, true) {
		return
	}
	addr := req.Header.Get(wire.HeaderEntry)
	if own > 0 {
		go a.askTable(addr)
		return
	}
	a.askTable(addr)
}

// Intervals of an agent that no planner contacts.
const (
	// orphanEvery is the interval of the checks for contact with a planner.
	orphanEvery = time.Second
	// orphanAfter is the time without an exchange after which the agent fetches the table from an
	// entry by itself. It exceeds the maximum exchange interval of 10 s and is short enough for an
	// edit to be in force within 14 s.
	orphanAfter = 12 * time.Second
)

// stepOrphan fetches the table from an entry chosen at random if no planner has contacted the agent
// for orphanAfter. This happens if the planner fails while the key-value service is unavailable.
// The agent reads the whole list of VMs each time, since it does not follow the list.
func (a *Agent) stepOrphan(now time.Time) {
	a.mu.Lock()
	alone := now.Sub(a.contact.exchanged)
	a.mu.Unlock()
	if a.vms == nil || alone < orphanAfter || !a.catching.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	l, err := a.vms.Changes(ctx, 0)
	if err != nil {
		a.catching.Store(false)
		a.log.Debug("reading the list of VMs failed", zap.Error(err))
		return
	}
	entries := slices.DeleteFunc(l.VMs, func(vm inventory.VM) bool {
		return vm.Role != inventory.RoleEntry || vm.State != inventory.VMLive
	})
	if len(entries) == 0 {
		a.catching.Store(false)
		return
	}
	a.askTable(entries[rand.IntN(len(entries))].Control)
}

// askTable fetches a newer table from the entry at addr and clears catching.
func (a *Agent) askTable(addr string) {
	defer a.catching.Store(false)
	var ans wire.SyncAnswer
	r := wire.SyncRequest{From: a.settings.ID, Table: a.replica.Current().Version(), TableOnly: true}
	if err := a.peers.PostWithin(context.Background(), catchUpTimeout, addr, wire.PathSync, r, &ans); err != nil {
		a.log.Debug("fetching the table from an entry failed", zap.Error(err))
		return
	}
	if a.replica.Merge(ans.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()), zap.String("from", "entry"))
	}
}
