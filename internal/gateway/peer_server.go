package gateway

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/server"
	"rockcleat/kv"
)

// A peerServer answers the other gateways.
type peerServer struct {
	placer     *placer.Placer
	fanout     *kv.Fanout
	configs    *configsync.Syncer
	gateways   *directory
	dispatcher *dispatch.Dispatcher
	// leaseKey is the key of the leader's lease.
	leaseKey string
}

func (p *peerServer) router() http.Handler {
	e := server.NewRouter()
	e.POST(pathReport, p.answerReport)
	e.POST(pathConfig, p.answerConfig)
	e.POST(pathAdmission, p.answerAdmission)
	return e
}

// answerReport answers a report: with the leader's reply and what has changed in the store,
// if this gateway leads, and with the leader's address otherwise; the news of the configuration
// goes with both. Requests that wait make the leader act soon.
func (p *peerServer) answerReport(c echo.Context) error {
	var m reportMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	p.configs.HeardVersion(m.ConfigVersion, m.Addr)
	a := replyMessage{Reply: p.placer.Report(m.Report), Config: p.configs.News()}
	if a.IsLeader {
		a.Changes = p.changesSince(m.Revisions)
	} else {
		record, _ := p.placer.Leader()
		a.Leader = p.gateways.leaderOr(record)
	}
	if a.IsLeader && hasWaiting(m.Report) {
		p.placer.Wake()
	}
	return c.JSON(http.StatusOK, a)
}

// answerConfig answers a gateway that asks for the configuration.
func (p *peerServer) answerConfig(c echo.Context) error {
	var r configsync.Request
	if err := c.Bind(&r); err != nil {
		return err
	}
	t, err := p.configs.Transfer(r)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, t)
}

// changesSince returns what the leader knows to have changed in the store; none if gateways
// watch the store themselves. The leader holds the lease, so the lease's key has not changed
// up to now.
func (p *peerServer) changesSince(known map[string]kv.Revision) map[string]kv.Batch {
	if !p.handsOnChanges() {
		return nil
	}
	p.fanout.MarkCurrent(p.leaseKey)
	return p.fanout.Since(known)
}

// handsOnChanges reports whether gateways report so often that what they receive is not too
// old before their next report; more of them watch the store themselves.
func (p *peerServer) handsOnChanges() bool {
	return 2*placer.ReportInterval(p.gateways.count()) <= p.fanout.MaxAge()
}

// hasWaiting reports whether a gateway has requests that wait for a server.
func hasWaiting(r placer.Report) bool {
	for _, d := range r.Demands {
		if d.Waiting > 0 {
			return true
		}
	}
	return false
}

func (p *peerServer) answerAdmission(c echo.Context) error {
	var r dispatch.AdmissionRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.dispatcher.Admit(r))
}
