package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/internal/inventory"
	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/placement"
	"rockcleat/table"
)

// Limits of the operators' interface.
const (
	saveTimeout   = 10 * time.Second
	statusTimeout = time.Second
	statusAtOnce  = 32
)

func (e *Entry) controlRouter() http.Handler {
	r := server.NewRouter()
	server.RegisterHealth(r, e.ready, e.metrics)
	own := r.Group("", server.RequireSecret(e.settings.Secret, e.metrics))
	own.POST(wire.PathSync, e.sync.answer)
	own.POST(wire.PathNudge, e.nudge)
	own.POST(wire.PathClaim, e.claims.serveClaim)
	own.POST(wire.PathClaimFinish, e.claims.serveFinish)
	own.GET(wire.PathTable, e.showTable)
	own.POST(wire.PathTable, e.saveTable)
	own.POST(wire.PathTableCheck, e.checkTable)
	own.GET(wire.PathHistory, e.history)
	own.GET(wire.PathStatus, e.status)
	own.GET(wire.PathDecisions, func(c echo.Context) error {
		a := wire.DecisionsAnswer{Entry: e.settings.ID, Decisions: e.decisions.latest(c.QueryParam("name"))}
		return c.JSON(http.StatusOK, a)
	})
	return r
}

func (e *Entry) nudge(c echo.Context) error {
	var n wire.Nudge
	if err := c.Bind(&n); err != nil {
		return err
	}
	e.planner.Nudge(n.Server)
	return c.NoContent(http.StatusOK)
}

// validate refuses tables whose models do not all fit the accelerators known.
func (e *Entry) validate(next *table.Table) []table.CheckError {
	sizes := e.planner.Sizes()
	servers := e.view.Servers()
	accelerators := 0
	for _, s := range servers {
		accelerators += len(s.Accelerators)
	}
	if len(sizes) == 0 || accelerators == 0 {
		return nil
	}
	return placement.CheckFit(next.Rows(), sizes, servers)
}

func (e *Entry) showTable(c echo.Context) error {
	t, _, err := e.tableLog.Load(c.Request().Context(), e.replica.Current())
	if err != nil {
		// The table in force here is the best answer while the service is out.
		t = e.replica.Current()
	}
	return c.JSON(http.StatusOK, wire.TableAnswer{Version: t.Version(), Rows: t.Rows()})
}

func (e *Entry) saveTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), saveTimeout)
	defer cancel()
	t, err := e.tableLog.Save(ctx, r.Edit)
	if err != nil {
		return e.notSaved(c, err)
	}
	e.replica.Offer(t)
	e.log.Info("table saved", zap.Uint64("version", t.Version()), zap.String("edit", r.Edit.ID), zap.String("author", r.Edit.Author))
	return c.JSON(http.StatusOK, wire.SaveAnswer{Version: t.Version()})
}

// notSaved tells an edit that was refused from one whose outcome is unknown.
func (e *Entry) notSaved(c echo.Context, err error) error {
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

// checkTable tells what saving an edit would do, without saving it.
func (e *Entry) checkTable(c echo.Context) error {
	var r wire.SaveRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	now := e.replica.Current()
	next := now.Apply(r.Edit, now.Version()+1)
	errs := next.Check()
	if len(errs) == 0 {
		errs = e.validate(next)
	}
	if len(errs) > 0 {
		return c.JSON(http.StatusUnprocessableEntity, wire.SaveAnswer{Errors: errs})
	}
	return c.JSON(http.StatusOK, wire.SaveAnswer{Version: now.Version()})
}

func (e *Entry) history(c echo.Context) error {
	edits, err := e.tableLog.History(c.Request().Context())
	if err != nil {
		return c.JSON(http.StatusServiceUnavailable, wire.SaveAnswer{Message: err.Error()})
	}
	return c.JSON(http.StatusOK, wire.HistoryAnswer{Edits: edits})
}

// status answers with this entry's view and, if asked, the table version that
// each VM says it has.
func (e *Entry) status(c echo.Context) error {
	a := wire.StatusAnswer{
		Entry: e.settings.ID, TableVersion: e.replica.Current().Version(), Cells: e.planner.Held(),
		Waiting: int(e.inFlight.Load()), ControlBytes: e.traffic.WireBytes(),
	}
	if c.QueryParam("brief") != "" {
		return c.JSON(http.StatusOK, a)
	}
	a.Servers = e.view.Servers()
	for _, vm := range e.members.all() {
		a.VMs = append(a.VMs, wire.VMStatus{
			ID: vm.ID, Role: string(vm.Role), Hall: vm.Hall, Addr: vm.Addr, State: string(vm.State),
		})
	}
	if c.QueryParam("versions") != "" {
		e.askVersions(c.Request().Context(), a.VMs, e.members.all())
	}
	return c.JSON(http.StatusOK, a)
}

// askVersions asks every VM for its table version, a few at once; one that does
// not answer keeps version 0.
func (e *Entry) askVersions(ctx context.Context, out []wire.VMStatus, vms []inventory.VM) {
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
			if err := e.peers.Get(ctx, vm.Control, wire.PathStatus, &v); err != nil {
				out[i].State = string(inventory.VMState("silent"))
				return
			}
			out[i].TableVersion = v.TableVersion
			out[i].Waiting, out[i].Running = v.Waiting, v.Running
		}()
	}
	wg.Wait()
}
