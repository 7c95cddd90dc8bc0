package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/serverlimit"
)

// Paths of the interface between gateways.
const (
	// pathReport is where gateways report to the leader.
	pathReport = "/v1/gateway"
	// pathFeed is where a gateway is asked for what has changed in the store.
	pathFeed = "/v1/feed"
	// pathConfig is where a gateway is asked for its configuration.
	pathConfig = "/v1/config"
	// pathAdmission is where a gateway is asked for admission at the engines that it owns.
	pathAdmission = "/v1/place"
	// pathGrant is where a gateway is asked for a grant of an organisation's limit.
	pathGrant = "/v1/quota"
	// pathPermit is where a gateway is asked for a permit of a backend server's limit.
	pathPermit = "/v1/permit"
)

// Bounds of calls between gateways.
const (
	// reportTimeout bounds the time until a report is answered, and each time in which no more
	// of the answer arrives.
	reportTimeout = 700 * time.Millisecond
	// configTimeout is the same for a request for the configuration. It is the time after which
	// the store is read instead, so it is as short as that of a report.
	configTimeout = 700 * time.Millisecond
	// admissionTimeout bounds one request for admission; it takes 1.4 to 3 ms
	// (docs/design/0009).
	admissionTimeout = 150 * time.Millisecond
	// grantTimeout bounds one request for a grant, which takes as long.
	grantTimeout = 150 * time.Millisecond
)

// A reportMessage is a gateway's report to the leader.
type reportMessage struct {
	placer.Report
	// ConfigVersion is the version of the configuration that the gateway holds.
	ConfigVersion uint64 `json:"config"`
	// Quarantine tells of requests under which servers have ended.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
	// ServerLimits tells of what backend servers said of their limits.
	ServerLimits serverlimit.Message `json:"limits,omitzero"`
	// Uninformed says that the gateway does not know yet what was in quarantine before its start.
	Uninformed bool `json:"uninformed,omitempty"`
}

// A replyMessage is the answer to a report.
type replyMessage struct {
	placer.Reply
	// Leader is where the leader takes messages, if the answering gateway does not lead.
	Leader string `json:"holder,omitempty"`
	// Config is what the answering gateway knows of the configuration.
	Config configsync.News `json:"news"`
	// Quarantine is what is new for the reporting gateway of such requests; nil if nothing is.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
	// ServerLimits is what is new for the reporting gateway of what servers said; nil if nothing is.
	ServerLimits *serverlimit.Reply `json:"limits,omitempty"`
	// Lapsed is the number of gateways that went off the list lately, for a quota.Limiter.
	Lapsed int `json:"lapsed,omitempty"`
	// Informed tells a gateway that is uninformed whether the answering one is not.
	Informed bool `json:"informed,omitempty"`
}

// A peerClient calls other gateways; it is a dispatch.Owners, a configsync.Peers and a quota.Asker.
type peerClient struct {
	http     *wire.Client
	gateways *directory
}

// newPeerClient returns a client whose calls a transport carries.
func newPeerClient(gateways *directory, t http.RoundTripper) *peerClient {
	return &peerClient{http: wire.NewClient("", t), gateways: gateways}
}

// report sends a report.
func (p *peerClient) report(ctx context.Context, addr string, m reportMessage) (replyMessage, error) {
	var reply replyMessage
	err := p.http.PostWithin(ctx, reportTimeout, addr, pathReport, m, &reply)
	return reply, err
}

// feed asks the gateway at an address for what has changed in the store; the answer must begin within
// a time and then go on without a pause that is longer.
func (p *peerClient) feed(ctx context.Context, addr string, timeout time.Duration, r feedRequest) (feedReply, error) {
	var reply feedReply
	err := p.http.PostWithin(ctx, timeout, addr, pathFeed, r, &reply)
	return reply, err
}

// FetchConfig implements configsync.Peers.
func (p *peerClient) FetchConfig(ctx context.Context, addr string, r configsync.Request) (configsync.Transfer, error) {
	var t configsync.Transfer
	err := p.http.PostWithin(ctx, configTimeout, addr, pathConfig, r, &t)
	return t, err
}

// Admit implements dispatch.Owners.
func (p *peerClient) Admit(ctx context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	var reply dispatch.AdmissionReply
	err := p.askGateway(ctx, admissionTimeout, owner, pathAdmission, r, &reply)
	return reply, err
}

// AskGrant implements quota.Asker.
func (p *peerClient) AskGrant(ctx context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	var reply quota.Reply
	err := p.askGateway(ctx, grantTimeout, gateway, pathGrant, r, &reply)
	return reply, noteEnded(err)
}

// askPermit asks a gateway for a permit of a backend server's limit.
func (p *peerClient) askPermit(ctx context.Context, gateway string, m permitMessage) (permitReply, error) {
	var reply permitReply
	err := p.askGateway(ctx, grantTimeout, gateway, pathPermit, m, &reply)
	return reply, noteEnded(err)
}

// noteEnded makes the error of a call to a process that has ended a quota.ErrEnded.
func noteEnded(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", quota.ErrEnded, err)
	}
	return err
}

// askGateway posts a message to the gateway of an id, within a time.
func (p *peerClient) askGateway(ctx context.Context, timeout time.Duration, gateway, path string, in, out any) error {
	addr := p.gateways.addr(gateway)
	if addr == "" {
		return eris.Errorf("gateway: the address of gateway %q is not known", gateway)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.http.Post(ctx, addr, path, in, out)
}
