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

// catchUpTimeout bounds the reading of the list of VMs, and the time until an entry that is
// asked for a newer table answers, as each time in which no more of it arrives.
const catchUpTimeout = time.Second

// catchUp gets a newer table from the entry whose request names one. So an agent
// has the table also when no planner can speak to it, as after its start
// while the platform's service is out. An agent with a table of its own does not
// let the request wait for it.
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

// Times of an agent that no planner speaks to.
const (
	// orphanEvery is the time between two looks.
	orphanEvery = time.Second
	// orphanAfter is the time without an exchange after which it asks an entry for the
	// table by itself. It is longer than the longest time between two exchanges (10 s,
	// docs/CAPACITY.md), and short enough for an edit to be in force here within 14 s.
	orphanAfter = 12 * time.Second
)

// stepOrphan keeps the table new while no planner speaks to the agent, as when
// its planner has died while the platform's key-value service is out. It reads the whole list of
// VMs once, in need; an entry follows the list all the time (package entry).
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
		a.log.Debug("list of VMs not read", zap.Error(err))
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

// askTable asks an entry for a newer table.
func (a *Agent) askTable(addr string) {
	defer a.catching.Store(false)
	var ans wire.SyncAnswer
	r := wire.SyncRequest{From: a.settings.ID, Table: a.replica.Current().Version(), TableOnly: true}
	if err := a.peers.PostWithin(context.Background(), catchUpTimeout, addr, wire.PathSync, r, &ans); err != nil {
		a.log.Debug("no table from entry", zap.Error(err))
		return
	}
	if a.replica.Merge(ans.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()), zap.String("from", "entry"))
	}
}
