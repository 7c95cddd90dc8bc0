package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/dispatch"
	"rockcleat/internal/placer"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
)

// pathExchange is where gateways report to each other.
const pathExchange = "/v1/gateway"

// Pace of exchanges with the holder of orders.
const (
	// exchangeSoon is the pace while a request waits for a model that nobody holds.
	exchangeSoon = 40 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 700 * time.Millisecond
)

// A peerRequest is what a gateway sends to another one.
type peerRequest struct {
	placer.Report
	// Config is the version of the configuration in force.
	Config uint64 `json:"config"`
	// Seen tells up to which revision it knows what it follows in the store.
	Seen map[string]kv.Revision `json:"seen,omitempty"`
}

// A peerAnswer is what it gets back.
type peerAnswer struct {
	placer.Reply
	// Holder is where the holder of orders takes messages, if the answerer is not it.
	Holder string `json:"holder,omitempty"`
	// Config is the configuration, if it is newer than the asker's.
	Config []byte `json:"config,omitempty"`
	// Changes is what has come in the store since what the asker has seen, if the
	// answerer holds the orders.
	Changes map[string]kv.Batch `json:"changes,omitempty"`
}

// peers exchanges state with the other gateways.
type peers struct {
	g    *Gateway
	http *wire.Client
	wake chan struct{}
	// source tells that this gateway held the orders at the last exchange.
	source bool

	mu     sync.Mutex
	holder string
	known  []string
	// addrs tells where each gateway takes messages.
	addrs     map[string]string
	residency int64
	// term is the holder's fencing token, listed the version of its list of gateways.
	term   int64
	listed uint64
	// told is what the holder has been told of demand.
	told map[string]dispatch.Demand
}

func newPeers(g *Gateway) *peers {
	return &peers{g: g, http: wire.NewClient("", &wire.Traffic{}), wake: make(chan struct{}, 1)}
}

// wakeUp makes the next exchange come soon; it never blocks.
func (p *peers) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// run exchanges with the holder of orders until the gateway ends.
func (p *peers) run() {
	for p.g.ctx.Err() == nil {
		started := time.Now()
		p.exchange()
		p.rest(started)
	}
}

// rest waits for the next exchange.
func (p *peers) rest(started time.Time) {
	pace := placer.ReportInterval(int(p.g.gateways.Load()))
	timer := time.NewTimer(max(pace-time.Since(started), exchangeSoon))
	defer timer.Stop()
	soon := time.NewTimer(exchangeSoon)
	defer soon.Stop()
	select {
	case <-timer.C:
		return
	case <-p.g.ctx.Done():
		return
	case <-soon.C:
	}
	select {
	case <-timer.C:
	case <-p.wake:
	case <-p.g.ctx.Done():
	}
}

// report returns what to tell the holder, and all demand as it stands with it.
func (p *peers) report() (placer.Report, map[string]dispatch.Demand) {
	all := p.g.dispatcher.Demands()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.g.registry.HasResidency() {
		p.residency = 0
	}
	changed := make(map[string]dispatch.Demand)
	for name, x := range all {
		if p.told[name] != x {
			changed[name] = x
		}
	}
	return placer.Report{
		GatewayID: p.g.settings.ID, Addr: p.g.settings.PeerListen, Hall: p.g.settings.Hall, ResidencyVersion: p.residency,
		GatewaysVersion: p.listed, Loads: p.g.dispatcher.Loads(), Demands: changed, Full: p.told == nil,
	}, all
}

// exchange tells the holder of orders what this gateway has and takes its answer.
func (p *peers) exchange() {
	addr, own := p.g.placer.Leader()
	if own != p.source {
		p.source = own
		p.g.relay.Recheck()
	}
	if own {
		r, all := p.report()
		p.take(p.g.placer.Report(r), all)
		p.g.placer.Wake()
		return
	}
	if addr = p.target(addr); addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(p.g.ctx, exchangeTimeout)
	defer cancel()
	r, all := p.report()
	req := peerRequest{Report: r, Seen: p.g.relay.Revisions()}
	if routing := p.g.routing.Load(); routing != nil {
		req.Config = routing.Version()
	}
	var a peerAnswer
	sent := p.g.clock.Now()
	if err := p.http.Call(ctx, http.MethodPost, addr, pathExchange, req, &a); err != nil {
		p.failed(addr, err)
		p.g.placer.NotePeerReply(addr, false)
		return
	}
	p.g.placer.NotePeerReply(addr, !a.IsLeader)
	if len(a.Config) > 0 {
		p.g.offerConfig(a.Config, "peer")
	}
	if a.IsLeader {
		p.g.relay.Apply(a.Changes, sent)
	} else {
		p.g.relay.Invalidate()
	}
	p.setHolder(a.Holder)
	p.take(a.Reply, all)
}

// target returns whom to ask: the holder, as the store or the last peer told,
// or any known gateway.
func (p *peers) target(addr string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.holder != "" {
		return p.holder
	}
	if addr != "" && addr != p.g.settings.PeerListen {
		return addr
	}
	if len(p.known) > 0 {
		return p.known[rand.IntN(len(p.known))]
	}
	return ""
}

// setHolder remembers a holder that another gateway told of.
func (p *peers) setHolder(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != p.g.settings.PeerListen {
		p.holder = addr
	}
}

// failed forgets a holder that did not answer and asks another gateway next.
func (p *peers) failed(addr string, err error) {
	p.g.log.Debug("no answer from gateway", zap.String("addr", addr), telemetry.Error(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder = ""
	if others := slices.DeleteFunc(slices.Clone(p.known), func(a string) bool { return a == addr }); len(others) > 0 && rand.IntN(2) == 0 {
		p.holder = others[rand.IntN(len(others))]
	}
}

// take takes in the answer of the holder of orders to a report that was made when
// demand stood at all.
func (p *peers) take(a placer.Reply, all map[string]dispatch.Demand) {
	if !a.IsLeader {
		return
	}
	now := p.g.clock.Now()
	if a.Full {
		p.g.registry.SetResidency(a.Residency, now)
	} else {
		p.g.registry.MergeResidency(a.Residency, now)
	}
	p.remember(a, all)
	if a.Gateways != nil {
		p.takeGateways(a.Gateways)
	}
	p.g.dispatcher.SetServers(p.g.registry.Snapshot())
	p.g.dispatcher.SetRemote(a.Loads, a.BusiestOnly)
}

// remember keeps what the holder knows now. A new holder was told only what has
// changed since the last one's answer, so it is told everything next.
func (p *peers) remember(a placer.Reply, all map[string]dispatch.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.residency = a.ResidencyVersion
	p.listed = a.GatewaysVersion
	p.told = all
	if a.Term != p.term {
		p.term, p.told = a.Term, nil
	}
}

// takeGateways takes a new list of the gateways.
func (p *peers) takeGateways(gateways []placer.Gateway) {
	list := make([]dispatch.Gateway, len(gateways))
	addrs := make(map[string]string, len(gateways))
	var others []string
	for i, x := range gateways {
		list[i] = x.Gateway
		addrs[x.ID] = x.Addr
		if x.Addr != p.g.settings.PeerListen {
			others = append(others, x.Addr)
		}
	}
	p.mu.Lock()
	p.known, p.addrs = others, addrs
	p.mu.Unlock()
	p.g.gateways.Store(int64(max(len(gateways), 1)))
	p.g.dispatcher.SetGateways(list)
}

// pathPlace is where a gateway is asked for places at the engines that it owns.
const pathPlace = "/v1/place"

// placeTimeout bounds a question for a place.
const placeTimeout = 150 * time.Millisecond

// Ask implements dispatch.Places.
func (p *peers) Admit(ctx context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	var a dispatch.AdmissionReply
	p.mu.Lock()
	addr := p.addrs[owner]
	p.mu.Unlock()
	if addr == "" {
		return a, eris.Errorf("gateway: where %q takes messages is not known", owner)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	err := p.http.Call(ctx, http.MethodPost, addr, pathPlace, r, &a)
	return a, err
}

func (g *Gateway) answerPlace(c echo.Context) error {
	var r dispatch.AdmissionRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, g.dispatcher.Admit(r))
}

// peerRouter answers the other gateways.
func (g *Gateway) peerRouter() http.Handler {
	e := server.NewRouter()
	e.POST(pathExchange, g.answerPeer)
	e.POST(pathPlace, g.answerPlace)
	return e
}

func (g *Gateway) answerPeer(c echo.Context) error {
	var r peerRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	a := peerAnswer{Reply: g.placer.Report(r.Report)}
	if !a.IsLeader {
		a.Holder, _ = g.placer.Leader()
	} else {
		if g.handsOn() {
			g.relay.MarkCurrent(g.lease.Key())
			a.Changes = g.relay.Since(r.Seen)
		}
		if waits(r.Report) {
			g.placer.Wake()
		}
	}
	told := len(a.Changes[g.decoder.ConfigKey()].Events) > 0
	if own := g.routing.Load(); own != nil && own.Version() > r.Config && !told {
		if value := g.config.Load(); value != nil {
			a.Config = *value
		}
	}
	return c.JSON(http.StatusOK, a)
}

// handsOn reports whether gateways report so often that what they are handed on is
// trusted until their next report; more of them watch the store themselves.
func (g *Gateway) handsOn() bool {
	return 2*placer.ReportInterval(int(g.gateways.Load())) <= g.relay.MaxAge()
}

// waits reports whether a gateway has requests that wait for a model.
func waits(r placer.Report) bool {
	for _, d := range r.Demands {
		if d.Waiting > 0 {
			return true
		}
	}
	return false
}
