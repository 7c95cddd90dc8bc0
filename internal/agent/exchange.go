package agent

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

func (a *Agent) controlRouter() http.Handler {
	r := server.NewRouter()
	server.RegisterHealth(r, a.ready, a.metrics)
	authorized := r.Group("", server.RequireSecret(a.settings.Secret, a.metrics))
	authorized.POST(wire.PathExchange, a.exchange)
	authorized.GET(wire.PathStatus, a.status)
	return r
}

// ready reports whether the agent accepts requests. If not, it also returns the reason.
func (a *Agent) ready() (bool, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.membership.leaving:
		return false, "leaving"
	case !a.server.engineResponds:
		return false, "no report from the backend server yet"
	}
	return true, ""
}

// exchange handles a planner's message and responds with the agent's state.
func (a *Agent) exchange(c echo.Context) error {
	var msg wire.Exchange
	if err := c.Bind(&msg); err != nil {
		return err
	}
	if !a.accept(msg) {
		return c.JSON(http.StatusOK, a.exchangeResponse(msg))
	}
	a.applyList(msg)
	if !msg.LeaseExpired && a.isForThisIncarnation(msg) && msg.TableVersion >= a.replica.Current().Version() {
		a.mu.Lock()
		a.workload.setGrants(msg.Grants)
		a.mu.Unlock()
		// Orders are executed in the background, because they wait for the key-value service.
		go a.executeOrders(msg.Orders)
	}
	return c.JSON(http.StatusOK, a.exchangeResponse(msg))
}

// accept merges the table and records the message. It reports whether the sender is the current
// planner, that is, no planner with a newer token is known.
func (a *Agent) accept(msg wire.Exchange) bool {
	if a.replica.Merge(msg.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.planner.accept(msg, a.clock.Now()) {
		a.log.Warn("ignored an exchange of a superseded planner", zap.Int64("token", msg.Token), zap.Int64("newest", a.planner.token))
		return false
	}
	return true
}

// isForThisIncarnation reports whether the orders and grants are addressed to this incarnation.
func (a *Agent) isForThisIncarnation(msg wire.Exchange) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return msg.Incarnation == a.incarnation
}

// exchangeResponse returns the response to a planner. It contains the server's record if the planner
// does not have its current version.
func (a *Agent) exchangeResponse(msg wire.Exchange) wire.ExchangeResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.serverRecord(a.clock.Now())
	resp := wire.ExchangeResponse{
		Incarnation: a.incarnation, Token: a.planner.token, TableVersion: a.replica.Current().Version(), RecordSeen: a.server.version,
		Pauses: a.planner.pauses, Quarantine: a.quarantine.Answer(msg.Quarantine, quarantine.AllRecords),
	}
	if msg.Incarnation != a.incarnation || msg.Seen != a.server.version {
		resp.Server = &s
	}
	resp.Grants = a.workload.grantsInUse()
	return resp
}

// Status is the agent's state as reported to operators.
type Status struct {
	ID           string `json:"id"`
	Incarnation  string `json:"incarnation"`
	TableVersion uint64 `json:"table_version"`
	Waiting      int    `json:"waiting"`
	Running      int    `json:"running"`
	Leaving      bool   `json:"leaving"`
	HasFence     bool   `json:"armed"`
	ControlBytes int64  `json:"control_bytes"`
}

// status responds with the agent's state.
func (a *Agent) status(c echo.Context) error {
	a.orderMu.Lock()
	hasFence := a.record.hasFence
	a.orderMu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.JSON(http.StatusOK, Status{
		ID: a.settings.ID, Incarnation: a.incarnation, TableVersion: a.replica.Current().Version(),
		Waiting: a.workload.queue.Waiting(), Running: a.workload.queue.Running(), Leaving: a.membership.leaving, HasFence: hasFence,
		ControlBytes: a.traffic.WireBytes(),
	})
}
