package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/quota"
)

// A peerServer answers the other gateways.
type peerServer struct {
	placer     *placer.Placer
	fanout     *kv.Fanout
	configs    *configsync.Syncer
	gateways   *directory
	dispatcher *dispatch.Dispatcher
	quarantine *quarantine.Table
	limiter    *quota.Limiter
	// serverLimits are those of backend servers, lapsed the number of gateways that went off the list lately.
	serverLimits *serverLimits
	lapsed       func() int
	// limits returns what this gateway knows of all limits.
	limits   func() wire.LimitList
	informed *atomic.Bool
	clock    clock.Service
	// leaseKey is the key of the leader's lease.
	leaseKey string
}

func (p *peerServer) router() http.Handler {
	e := server.NewRouter()
	e.POST(pathReport, p.answerReport)
	e.POST(pathFeed, p.answerFeed)
	e.POST(pathConfig, p.answerConfig)
	e.POST(pathAdmission, p.answerAdmission)
	e.POST(pathGrant, p.answerGrant)
	e.POST(pathPermit, p.answerPermit)
	server.RegisterQuarantine(e, p.quarantine)
	e.GET(wire.PathLimits, func(c echo.Context) error { return c.JSON(http.StatusOK, p.limits()) })
	return e
}

// answerReport answers a report: with the leader's reply, if this gateway leads, and with the
// leader's address otherwise; the news of the configuration goes with both. Requests that wait make
// the leader act soon.
func (p *peerServer) answerReport(c echo.Context) error {
	var m reportMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	p.configs.HeardVersion(m.ConfigVersion, m.Addr)
	a := replyMessage{
		Reply: p.placer.Report(m.Report), Config: p.configs.News(), Quarantine: p.quarantine.Answer(m.Quarantine, quarantine.SharedEnds),
		Informed: m.Uninformed && p.informed.Load(), Lapsed: p.lapsed(), ServerLimits: p.serverLimits.Answer(m.ServerLimits),
	}
	if !a.IsLeader {
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

// answerFeed answers a gateway that asks for what has changed in the store, as soon as there is
// something new for it.
func (p *peerServer) answerFeed(c echo.Context) error {
	var r feedRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	p.configs.HeardVersion(r.ConfigVersion, r.Addr)
	asked := p.clock.Now()
	p.awaitNews(c.Request().Context(), r, asked)
	p.markLeaseCurrent()
	return c.JSON(http.StatusOK, feedReply{
		Changes: p.fanout.Since(r.Revisions), Config: p.configs.News(), HeldMs: p.clock.Now().Sub(asked).Milliseconds(),
	})
}

// awaitNews waits until there is something new for a gateway, at most for feedHold of its time.
func (p *peerServer) awaitNews(ctx context.Context, r feedRequest, asked time.Time) {
	before := p.fanout.Views(r.Revisions)
	maxAge := p.fanout.MaxAge()
	end := asked.Add(feedHold(maxAge))
	for ctx.Err() == nil {
		changed := p.fanout.Changed()
		left := end.Sub(p.clock.Now())
		if left <= 0 || p.fanout.HasNews(r.Revisions, maxAge/feedSteps, before) || p.configs.News().Version > r.ConfigVersion {
			return
		}
		clock.Await(ctx, p.clock, changed, left)
	}
}

// markLeaseCurrent notes that the lease's key has not changed up to now, if this gateway holds the
// lease.
func (p *peerServer) markLeaseCurrent() {
	if _, leads := p.placer.Leader(); leads {
		p.fanout.MarkCurrent(p.leaseKey)
	}
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

// answerGrant answers a gateway that asks for a grant of an organisation's limit.
func (p *peerServer) answerGrant(c echo.Context) error {
	var r quota.Request
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.limiter.Grant(r))
}

// answerPermit answers a gateway that asks for a permit of a backend server's limit.
func (p *peerServer) answerPermit(c echo.Context) error {
	var m permitMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.serverLimits.grantPermit(m))
}
