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

// Limits of the operators' API.
const (
	// saveTimeout bounds the saving of an edit.
	saveTimeout = 10 * time.Second
	// statusTimeout bounds the query of one VM's table version. maxStatusQueries is the maximum
	// number of concurrent queries.
	statusTimeout    = time.Second
	maxStatusQueries = 32
)

// stateUnresponsive is the reported state of a VM that does not respond.
const stateUnresponsive = "silent"

// operatorAPI serves the API for operators: it reads, checks and saves the table and reports the
// state known to this entry.
type operatorAPI struct {
	id        string
	replica   *table.Replica
	view      *fleet.View
	tableLog  *table.Log
	planner   *planner.Planner
	members   *members
	decisions *decisions
	client    *wire.Client
	// inFlight returns the number of client requests in progress.
	inFlight func() int64
	traffic  *wire.TrafficCounter
	log      *zap.Logger
}

// register adds the routes of the operators' API.
func (o *operatorAPI) register(r *echo.Group) {
	r.GET(wire.PathTable, o.showTable)
	r.POST(wire.PathTable, o.saveTable)
	r.POST(wire.PathTableCheck, o.checkTable)
	r.GET(wire.PathHistory, o.history)
	r.GET(wire.PathStatus, o.status)
	r.GET(wire.PathDecisions, o.showDecisions)
}

// showTable responds with the saved table, or with the table in force at this entry if the
// key-value service is unavailable.
func (o *operatorAPI) showTable(c echo.Context) error {
	t, _, err := o.tableLog.Load(c.Request().Context(), o.replica.Current())
	if err != nil {
		o.log.Warn("loading the saved table failed; returning the table in force", zap.Error(err))
		t = o.replica.Current()
	}
	return c.JSON(http.StatusOK, wire.TableResponse{Version: t.Version(), Rows: t.Rows()})
}

// saveTable saves an edit and puts the resulting table in force at this entry.
func (o *operatorAPI) saveTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), saveTimeout)
	defer cancel()
	t, err := o.tableLog.Save(ctx, r.Edit)
	if err != nil {
		return o.respondSaveError(c, err)
	}
	o.replica.StoreIfNewer(t)
	o.log.Info("table saved", zap.Uint64("version", t.Version()), zap.String("edit", r.Edit.ID), zap.String("author", r.Edit.Author))
	return c.JSON(http.StatusOK, wire.SaveResponse{Version: t.Version()})
}

// respondSaveError responds that an edit was refused or that its outcome is unknown.
func (o *operatorAPI) respondSaveError(c echo.Context, err error) error {
	resp := wire.SaveResponse{Message: err.Error()}
	var invalid *table.InvalidError
	switch {
	case errors.As(err, &invalid):
		resp.Errors = invalid.Errors
		return c.JSON(http.StatusUnprocessableEntity, resp)
	case errors.Is(err, table.ErrRowConflict):
		return c.JSON(http.StatusConflict, resp)
	case errors.Is(err, table.ErrSaveUnknown):
		return c.JSON(http.StatusBadGateway, resp)
	}
	return c.JSON(http.StatusServiceUnavailable, resp)
}

// checkTable validates an edit without saving it. It responds with the version of the table in
// force, or with the validation errors.
func (o *operatorAPI) checkTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	current := o.replica.Current()
	next := current.Apply(r.Edit, current.Version()+1)
	if errs := o.tableLog.Check(next); len(errs) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, wire.SaveResponse{Errors: errs})
	}
	return c.JSON(http.StatusOK, wire.SaveResponse{Version: current.Version()})
}

// tableCheck returns a validator that rejects tables whose models do not all fit on the known
// accelerators. It accepts every table while the sizes or the accelerators are unknown.
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

// history responds with the latest edits.
func (o *operatorAPI) history(c echo.Context) error {
	edits, err := o.tableLog.History(c.Request().Context())
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, wire.SaveResponse{Message: err.Error()})
	}
	return c.JSON(http.StatusOK, wire.HistoryResponse{Edits: edits})
}

// showDecisions responds with the latest decisions, or with those about the row given by the
// parameter name.
func (o *operatorAPI) showDecisions(c echo.Context) error {
	resp := wire.DecisionsResponse{Entry: o.id, Decisions: o.decisions.latest(c.QueryParam("name"))}
	return c.JSON(http.StatusOK, resp)
}

// status responds with this entry's state. The parameter brief omits the servers and VMs. The
// parameter versions adds the table version that each VM reports.
func (o *operatorAPI) status(c echo.Context) error {
	resp := wire.StatusResponse{
		Entry: o.id, TableVersion: o.replica.Current().Version(), Cells: o.planner.HeldCells(),
		InProgress: int(o.inFlight()), ControlBytes: o.traffic.WireBytes(),
	}
	if c.QueryParam("brief") != "" {
		return c.JSON(http.StatusOK, resp)
	}
	resp.Servers = o.view.Servers()
	vms := o.members.all()
	for _, vm := range vms {
		resp.VMs = append(resp.VMs, wire.VMStatus{
			ID: vm.ID, Role: string(vm.Role), Hall: vm.Hall, Addr: vm.Addr, State: string(vm.State),
		})
	}
	if c.QueryParam("versions") != "" {
		o.queryVersions(c.Request().Context(), resp.VMs, vms)
	}
	return c.JSON(http.StatusOK, resp)
}

// queryVersions queries every VM for its table version. The version of a VM that does not respond
// stays 0.
func (o *operatorAPI) queryVersions(ctx context.Context, out []wire.VMStatus, vms []inventory.VM) {
	semaphore := make(chan struct{}, maxStatusQueries)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			var v wire.VersionResponse
			if err := o.client.Get(ctx, vm.Control, wire.PathStatus, &v); err != nil {
				out[i].State = stateUnresponsive
				return
			}
			out[i].TableVersion = v.TableVersion
			out[i].Waiting, out[i].Running = v.Waiting, v.Running
		}()
	}
	wg.Wait()
}
