package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/labstack/echo/v4"

	"rockcleat/admission"
	"rockcleat/clock"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/quota"
)

// A peerServer handles the requests of other gateways.
type peerServer struct {
	placer     *placer.Placer
	configs    *configsync.Syncer
	gateways   *directory
	dispatcher *dispatch.Dispatcher
	quarantine *quarantine.Table
	trials     *trials
	limiter    *quota.Limiter
	// serverLimits holds the rate limits of backend servers. removedCount returns the number of gateways that recently
	// left the leader's list.
	serverLimits *serverLimits
	departures   *departure.Table
	origins      *streamOrigins
	removedCount func() int
	feedSource   feedSource
	lists        *listCache
	// limits returns this gateway's state of all rate limits.
	limits func() wire.LimitList
	// synced reports whether this gateway knows the quarantine from before its start.
	synced *atomic.Bool
	clock  clock.Service
	// leaseKey is the store key of the leader's lease.
	leaseKey string
	// encoding is held while a message that may be large is encoded. When all gateways start, or a leader's term begins,
	// the gateways request such messages together, and their uncompressed forms must not be in memory at once.
	encoding sync.Mutex
}

func (p *peerServer) router() http.Handler {
	e := server.NewRouter()
	e.POST(pathReport, p.handleReport)
	e.POST(pathFeed, p.handleFeed)
	e.POST(pathList, p.handleList)
	e.POST(pathHolders, p.handleHolders)
	e.POST(pathConfig, p.handleConfig)
	e.POST(pathAdmission, p.handleAdmission)
	e.POST(pathAccount, p.handleAccount)
	e.POST(pathGranted, p.handleGranted)
	e.POST(pathGrant, p.handleGrant)
	e.POST(pathPermit, p.handlePermit)
	e.POST(pathOrigins, p.handleOrigins)
	e.POST(pathOrigin, p.handleOrigin)
	e.POST(pathTrial, p.handleTrial)
	server.RegisterQuarantine(e, p.quarantine)
	e.GET(wire.PathLimits, func(c echo.Context) error { return c.JSON(http.StatusOK, p.limits()) })
	return e
}

// respond responds with a message that may be large, in which case it is compressed.
func (p *peerServer) respond(c echo.Context, message any) error {
	encoded, err := p.encode(c.Request().Header, message)
	if err != nil {
		return err
	}
	return respondEncoded(c, encoded)
}

// respondEncoded responds with an encoded message.
func respondEncoded(c echo.Context, message wire.Encoded) error {
	if message.Encoding != "" {
		c.Response().Header().Set(echo.HeaderContentEncoding, message.Encoding)
	}
	return c.JSONBlob(http.StatusOK, message.Body)
}

// encode returns the encoded form of a message.
func (p *peerServer) encode(request http.Header, message any) (wire.Encoded, error) {
	p.encoding.Lock()
	defer p.encoding.Unlock()
	body, err := json.Marshal(message)
	if err != nil {
		return wire.Encoded{}, err
	}
	return wire.Compress(body, request)
}

// handleReport handles a report. The leader applies it and replies; any other gateway replies with the leader's
// address. If the report shows requests waiting for a server, the leader plans at once.
func (p *peerServer) handleReport(c echo.Context) error {
	var m reportMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	p.configs.HandleVersion(m.ConfigVersion, m.Addr)
	reply := replyMessage{
		Reply: p.placer.Report(m.Report), Config: p.configs.Announcement(), Quarantine: p.quarantine.Answer(m.Quarantine, quarantine.SharedRecords),
		QuarantineKnown: m.QuarantineUnknown && p.synced.Load(), RemovedGateways: p.removedCount(), ServerLimits: p.serverLimits.Answer(m.ServerLimits),
		Departures: p.departures.Answer(m.Departures),
	}
	if !reply.IsLeader {
		record, _ := p.placer.Leader()
		reply.Leader = p.gateways.leaderOr(record)
	}
	if reply.IsLeader && hasWaiting(m.Report) {
		p.placer.Wake()
	}
	return p.respond(c, reply)
}

// handleTrial handles a request for a trial of a suspected trait.
func (p *peerServer) handleTrial(c echo.Context) error {
	var r trialRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.trials.handle(r))
}

// handleHolders handles a poll for missing models and adapters. It responds as soon as an engine holds one of them, and
// after the hold time at the latest.
func (p *peerServer) handleHolders(c echo.Context) error {
	var r holderRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	return p.respond(c, p.placer.AwaitHolders(c.Request().Context(), r.Targets, holderHold))
}

// handleConfig handles a request for the configuration.
func (p *peerServer) handleConfig(c echo.Context) error {
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

// handleFeed handles a poll for changes in the store. It responds as soon as there is a change or a newer view, and
// after the hold time at the latest.
func (p *peerServer) handleFeed(c echo.Context) error {
	var r feedRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	p.configs.HandleVersion(r.ConfigVersion, r.Addr)
	requestedAt := p.clock.Now()
	p.feedSource.awaitChanges(c.Request().Context(), r, requestedAt)
	p.markLeaseCurrent()
	return p.respond(c, p.feedSource.reply(r, requestedAt))
}

// handleList responds with all entries of a prefix.
func (p *peerServer) handleList(c echo.Context) error {
	var r listRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	message, ok, err := p.lists.list(r.Prefix)
	if err != nil {
		return err
	}
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "the prefix is not known completely")
	}
	return respondEncoded(c, message)
}

// markLeaseCurrent records that the lease's key has not changed until now, if this gateway holds the lease.
func (p *peerServer) markLeaseCurrent() {
	if _, leads := p.placer.Leader(); leads {
		p.feedSource.fanout.MarkCurrent(p.leaseKey)
	}
}

// hasWaiting reports whether requests are waiting for a server, according to a report.
func hasWaiting(r placer.Report) bool {
	for _, d := range r.Demands {
		if d.Waiting > 0 {
			return true
		}
	}
	return false
}

func (p *peerServer) handleAdmission(c echo.Context) error {
	var r dispatch.AdmissionRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.dispatcher.Admit(r))
}

// handleAccount handles a notice of what has begun and ended at the servers that this gateway owns.
func (p *peerServer) handleAccount(c echo.Context) error {
	var m admission.Message
	if err := c.Bind(&m); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.dispatcher.Notified(m))
}

// handleGranted handles the admissions of queued requests by their owner.
func (p *peerServer) handleGranted(c echo.Context) error {
	var m dispatch.GrantMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	p.dispatcher.Granted(m)
	return c.JSON(http.StatusOK, struct{}{})
}

// handleGrant handles a request for a grant of an organisation's rate limit.
func (p *peerServer) handleGrant(c echo.Context) error {
	var r quota.Request
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.limiter.Grant(r))
}

// handlePermit handles a request for a permit of a backend server's rate limit.
func (p *peerServer) handlePermit(c echo.Context) error {
	var m permitMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.serverLimits.grantPermit(m))
}

// handleOrigins handles records of streams that began at another gateway.
func (p *peerServer) handleOrigins(c echo.Context) error {
	var m originsMessage
	if err := c.Bind(&m); err != nil {
		return err
	}
	p.origins.merge(m.Records)
	return c.JSON(http.StatusOK, struct{}{})
}

// handleOrigin handles a query for the origin of a stream.
func (p *peerServer) handleOrigin(c echo.Context) error {
	var q originQuery
	if err := c.Bind(&q); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, p.origins.answer(q))
}
