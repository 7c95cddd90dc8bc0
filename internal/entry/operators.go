package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/inventory"
	"rockcleat/internal/planner"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// Bounds of the operators' interface.
const (
	// saveTimeout bounds the saving of an edit.
	saveTimeout = 10 * time.Second
	// statusTimeout bounds the question to one VM for its table version, and statusAtOnce is
	// how many are asked at once.
	statusTimeout = time.Second
	statusAtOnce  = 32
)

// stateSilent is the state shown of a VM that does not answer.
const stateSilent = "silent"

// operators answers operators: it shows, checks and saves the table, and shows what this entry
// knows of the system.
type operators struct {
	id        string
	replica   *table.Replica
	view      *fleet.View
	tableLog  *table.Log
	planner   *planner.Planner
	members   *members
	decisions *decisions
	peers     *wire.Client
	// inFlight returns the number of callers' requests in progress.
	inFlight func() int64
	traffic  *wire.Traffic
	log      *zap.Logger
}

// register adds the operators' paths.
func (o *operators) register(r *echo.Group) {
	r.GET(wire.PathTable, o.showTable)
	r.POST(wire.PathTable, o.saveTable)
	r.POST(wire.PathTableCheck, o.checkTable)
	r.GET(wire.PathHistory, o.history)
	r.GET(wire.PathStatus, o.status)
	r.GET(wire.PathDecisions, o.showDecisions)
}

// showTable answers with the saved table, or with the one in force here while the service is out.
func (o *operators) showTable(c echo.Context) error {
	t, _, err := o.tableLog.Load(c.Request().Context(), o.replica.Current())
	if err != nil {
		o.log.Warn("table not read, the one in force is shown", zap.Error(err))
		t = o.replica.Current()
	}
	return c.JSON(http.StatusOK, wire.TableAnswer{Version: t.Version(), Rows: t.Rows()})
}

// saveTable saves an edit and puts the table in force here.
func (o *operators) saveTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), saveTimeout)
	defer cancel()
	t, err := o.tableLog.Save(ctx, r.Edit)
	if err != nil {
		return o.notSaved(c, err)
	}
	o.replica.Offer(t)
	o.log.Info("table saved", zap.Uint64("version", t.Version()), zap.String("edit", r.Edit.ID), zap.String("author", r.Edit.Author))
	return c.JSON(http.StatusOK, wire.SaveAnswer{Version: t.Version()})
}

// notSaved answers that an edit was refused or that its outcome is unknown.
func (o *operators) notSaved(c echo.Context, err error) error {
	a := wire.SaveAnswer{Message: err.Error()}
	var invalid *table.InvalidError
	switch {
	case errors.As(err, &invalid):
		a.Errors = invalid.Errors
		return c.JSON(http.StatusUnprocessableEntity, a)
	case errors.Is(err, table.ErrRowConflict):
		return c.JSON(http.StatusConflict, a)
	case errors.Is(err, table.ErrSaveUnknown):
		return c.JSON(http.StatusBadGateway, a)
	}
	return c.JSON(http.StatusServiceUnavailable, a)
}

// checkTable says what saving an edit would do, without saving it.
func (o *operators) checkTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	now := o.replica.Current()
	next := now.Apply(r.Edit, now.Version()+1)
	if errs := o.tableLog.Check(next); len(errs) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, wire.SaveAnswer{Errors: errs})
	}
	return c.JSON(http.StatusOK, wire.SaveAnswer{Version: now.Version()})
}

// tableCheck returns a check that refuses tables whose models do not all fit the accelerators
// known.
func tableCheck(view *fleet.View, p *planner.Planner) table.Validator {
	return func(next *table.Table) []table.CheckError {
		sizes := p.Sizes()
		servers := view.Servers()
		accelerators := 0
		for _, s := range servers {
			accelerators += len(s.Accelerators)
		}
		if len(sizes) == 0 || accelerators == 0 {
			return nil
		}
		return placement.CheckFit(next.Rows(), sizes, servers)
	}
}

// history answers with the latest edits.
func (o *operators) history(c echo.Context) error {
	edits, err := o.tableLog.History(c.Request().Context())
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, wire.SaveAnswer{Message: err.Error()})
	}
	return c.JSON(http.StatusOK, wire.HistoryAnswer{Edits: edits})
}

// showDecisions answers with the latest decisions, or those about one row.
func (o *operators) showDecisions(c echo.Context) error {
	a := wire.DecisionsAnswer{Entry: o.id, Decisions: o.decisions.latest(c.QueryParam("name"))}
	return c.JSON(http.StatusOK, a)
}

// status answers with this entry's view and, if asked, the table version that
// each VM says it has.
func (o *operators) status(c echo.Context) error {
	a := wire.StatusAnswer{
		Entry: o.id, TableVersion: o.replica.Current().Version(), Cells: o.planner.Held(),
		Waiting: int(o.inFlight()), ControlBytes: o.traffic.WireBytes(),
	}
	if c.QueryParam("brief") != "" {
		return c.JSON(http.StatusOK, a)
	}
	a.Servers = o.view.Servers()
	vms := o.members.all()
	for _, vm := range vms {
		a.VMs = append(a.VMs, wire.VMStatus{
			ID: vm.ID, Role: string(vm.Role), Hall: vm.Hall, Addr: vm.Addr, State: string(vm.State),
		})
	}
	if c.QueryParam("versions") != "" {
		o.askVersions(c.Request().Context(), a.VMs, vms)
	}
	return c.JSON(http.StatusOK, a)
}

// askVersions asks every VM for its table version, a few at once; one that does
// not answer keeps version 0.
func (o *operators) askVersions(ctx context.Context, out []wire.VMStatus, vms []inventory.VM) {
	slots := make(chan struct{}, statusAtOnce)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			var v wire.VersionAnswer
			if err := o.peers.Get(ctx, vm.Control, wire.PathStatus, &v); err != nil {
				out[i].State = stateSilent
				return
			}
			out[i].TableVersion = v.TableVersion
			out[i].Waiting, out[i].Running = v.Waiting, v.Running
		}()
	}
	wg.Wait()
}
