package agent

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rockcleat/internal/wire"
)

// catchUpTimeout bounds the asking of an entry for a newer table.
const catchUpTimeout = time.Second

// catchUp takes a newer table from the entry whose request tells of one. So an
// agent has the table also when no planner can speak to it, as after its start
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

func (a *Agent) askTable(addr string) {
	defer a.catching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	var ans wire.SyncAnswer
	r := wire.SyncRequest{From: a.settings.ID, Table: a.replica.Current().Version(), TableOnly: true}
	if err := a.peers.Call(ctx, http.MethodPost, addr, wire.PathSync, r, &ans); err != nil {
		a.log.Debug("no table from entry", zap.Error(err))
		return
	}
	if a.replica.Merge(ans.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()), zap.String("from", "entry"))
	}
}
