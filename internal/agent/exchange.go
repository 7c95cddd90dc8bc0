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
	e := server.NewRouter()
	server.RegisterHealth(e, a.ready, a.metrics)
	own := e.Group("", server.RequireSecret(a.settings.Secret, a.metrics))
	own.POST(wire.PathExchange, a.exchange)
	own.GET(wire.PathStatus, a.status)
	return e
}

// ready reports whether the agent accepts requests, and the reason if not.
func (a *Agent) ready() (bool, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.membership.leaving:
		return false, "leaving"
	case !a.server.reported:
		return false, "no report from the backend server yet"
	}
	return true, ""
}

// exchange handles a planner's message and responds with the agent's state.
func (a *Agent) exchange(c echo.Context) error {
	var x wire.Exchange
	if err := c.Bind(&x); err != nil {
		return err
	}
	if !a.accept(x) {
		return c.JSON(http.StatusOK, a.exchangeAnswer(x))
	}
	a.applyList(x)
	if !x.Lapsed && a.isForThisIncarnation(x) && x.TableVersion >= a.replica.Current().Version() {
		a.mu.Lock()
		a.work.setGrants(x.Grants)
		a.mu.Unlock()
		// Orders are executed in the background, because they wait for the key-value service.
		go a.executeOrders(x.Orders)
	}
	return c.JSON(http.StatusOK, a.exchangeAnswer(x))
}

// accept merges the table and reports whether the sender is the current planner, that is, no newer
// one is known.
func (a *Agent) accept(x wire.Exchange) bool {
	if a.replica.Merge(x.Table) {
		a.log.Info("table in force", zap.Uint64("version", a.replica.Current().Version()))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.planner.accept(x, a.clock.Now()) {
		a.log.Warn("ignored an exchange of a superseded planner", zap.Int64("token", x.Token), zap.Int64("newest", a.planner.token))
		return false
	}
	return true
}

// isForThisIncarnation reports whether the orders and grants are addressed to this incarnation.
func (a *Agent) isForThisIncarnation(x wire.Exchange) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return x.Incarnation == a.incarnation
}

// exchangeAnswer returns the response to a planner. It contains the server's record if the planner
// does not have its current version.
func (a *Agent) exchangeAnswer(x wire.Exchange) wire.ExchangeAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.serverRecord(a.clock.Now())
	ans := wire.ExchangeAnswer{
		Incarnation: a.incarnation, Token: a.planner.token, TableVersion: a.replica.Current().Version(), RecordSeen: a.server.version,
		Pauses: a.planner.pauses, Quarantine: a.quarantine.Answer(x.Quarantine, quarantine.AllEnds),
	}
	if x.Incarnation != a.incarnation || x.Seen != a.server.version {
		ans.Server = &s
	}
	ans.Grants = a.work.grantsInUse()
	return ans
}

// Status is the agent's state as reported to operators.
type Status struct {
	ID           string `json:"id"`
	Incarnation  string `json:"incarnation"`
	TableVersion uint64 `json:"table_version"`
	Waiting      int    `json:"waiting"`
	Running      int    `json:"running"`
	Leaving      bool   `json:"leaving"`
	Armed        bool   `json:"armed"`
	ControlBytes int64  `json:"control_bytes"`
}

// status responds with the agent's state.
func (a *Agent) status(c echo.Context) error {
	a.orderMu.Lock()
	armed := a.record.hasFence
	a.orderMu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.JSON(http.StatusOK, Status{
		ID: a.settings.ID, Incarnation: a.incarnation, TableVersion: a.replica.Current().Version(),
		Waiting: a.work.queue.Waiting(), Running: a.work.queue.Running(), Leaving: a.membership.leaving, Armed: armed,
		ControlBytes: a.traffic.WireBytes(),
	})
}
