package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/admission"
	"rockcleat/departure"
	"rockcleat/dispatch"
	"rockcleat/internal/configsync"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/kv"
	"rockcleat/quarantine"
	"rockcleat/quota"
	"rockcleat/resumption"
	"rockcleat/serverlimit"
)

// Paths of the endpoints between gateways.
const (
	// pathReport receives reports to the leader.
	pathReport = "/v1/gateway"
	// pathFeed returns changes in the store.
	pathFeed = "/v1/feed"
	// pathList returns all entries of a prefix of the store.
	pathList = "/v1/list"
	// pathHolders returns the engines that hold models or adapters, and waits until there are some.
	pathHolders = "/v1/holders"
	// pathConfig returns the configuration.
	pathConfig = "/v1/config"
	// pathAdmission grants admission to the engines that the gateway owns.
	pathAdmission = "/v1/place"
	// pathAccount receives what has begun and ended at the servers that the gateway owns, pathGranted the admissions of
	// queued requests.
	pathAccount = "/v1/places"
	pathGranted = "/v1/granted"
	// pathGrant grants part of an organisation's rate limit.
	pathGrant = "/v1/quota"
	// pathPermit grants permits of a backend server's rate limit.
	pathPermit = "/v1/permit"
	// pathOrigins receives records of where streams began, pathOrigin returns one.
	pathOrigins = "/v1/origins"
	pathOrigin  = "/v1/origin"
	// pathTrial grants trials of suspected traits and receives their ends.
	pathTrial = "/v1/trial"
)

// Timeouts of calls between gateways.
const (
	// reportTimeout is the timeout for the response to a report, and for each read of its body.
	reportTimeout = 700 * time.Millisecond
	// configTimeout is the same for a request for the configuration, after which the store is read instead.
	configTimeout = 700 * time.Millisecond
	// listTimeout is the same for a list of a prefix of the store, which takes a small VM some time to encode.
	listTimeout = 1500 * time.Millisecond
	// admissionTimeout is the timeout of an admission request, which takes 1.4 to 3 ms (docs/design/0009).
	admissionTimeout = 150 * time.Millisecond
	// accountTimeout is the same for servers whose owners count requests, and for messages about these. A VM with a small
	// processor quota may get none of it for 85 ms at a time, also between the request and its reply.
	accountTimeout = 300 * time.Millisecond
	// grantTimeout is the timeout of a request for a grant or a permit.
	grantTimeout = 150 * time.Millisecond
	// trialRequestTimeout is the timeout of a request for a trial.
	trialRequestTimeout = 150 * time.Millisecond
	// originTimeout is the timeout of a query for the origin of a stream and of a message with such records.
	originTimeout = 250 * time.Millisecond
)

// A reportMessage is a gateway's report to the leader.
type reportMessage struct {
	placer.Report
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion uint64 `json:"config"`
	// Quarantine holds new information on requests under which servers have crashed.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
	// ServerLimits holds new information on the rate limits that backend servers announced.
	ServerLimits serverlimit.Message `json:"limits,omitzero"`
	// Departures holds new announcements of backend servers that they are leaving.
	Departures departure.Message `json:"departures,omitzero"`
	// QuarantineUnknown reports whether the sender does not yet know the quarantine from before its start.
	QuarantineUnknown bool `json:"uninformed,omitempty"`
}

// A replyMessage is the reply to a report.
type replyMessage struct {
	placer.Reply
	// Leader is the leader's peer address if the replying gateway is not the leader; empty if it is not known.
	Leader string `json:"holder,omitempty"`
	// Config describes the configuration of the replying gateway.
	Config configsync.Announcement `json:"news"`
	// Quarantine holds what the reporting gateway lacks; nil if it lacks nothing.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
	// ServerLimits holds what the reporting gateway lacks; nil if it lacks nothing.
	ServerLimits *serverlimit.Reply `json:"limits,omitempty"`
	// Departures holds what the reporting gateway lacks; nil if it lacks nothing.
	Departures *departure.Reply `json:"departures,omitempty"`
	// RemovedGateways is the number of gateways that recently left the leader's list, for quota.Limiter.
	RemovedGateways int `json:"lapsed,omitempty"`
	// QuarantineKnown says, in reply to a report with QuarantineUnknown, that the replying gateway knows the quarantine.
	QuarantineKnown bool `json:"informed,omitempty"`
}

// A peerClient calls other gateways. It implements dispatch.Owners, dispatch.Accounts, configsync.Peers,
// quota.GrantClient, originPeers and trialPeers.
type peerClient struct {
	http     *wire.Client
	gateways *directory
}

func newPeerClient(gateways *directory, t http.RoundTripper) *peerClient {
	return &peerClient{http: wire.NewClient("", t), gateways: gateways}
}

// report sends a report to the gateway at addr.
func (p *peerClient) report(ctx context.Context, addr string, m reportMessage) (replyMessage, error) {
	var reply replyMessage
	err := p.http.PostWithStallTimeout(ctx, reportTimeout, addr, pathReport, m, &reply)
	return reply, err
}

// feed polls the gateway at addr for changes in the store. timeout applies to the start of the response and to each
// read of its body.
func (p *peerClient) feed(ctx context.Context, addr string, timeout time.Duration, r feedRequest) (feedReply, error) {
	var reply feedReply
	err := p.http.PostWithStallTimeout(ctx, timeout, addr, pathFeed, r, &reply)
	return reply, err
}

// list requests all entries of a prefix of the store from the gateway at addr.
func (p *peerClient) list(ctx context.Context, addr, prefix string) (kv.Batch, error) {
	var b kv.Batch
	err := p.http.PostWithStallTimeout(ctx, listTimeout, addr, pathList, listRequest{Prefix: prefix}, &b)
	return b, err
}

// holders asks the gateway at addr which engines hold models or adapters.
func (p *peerClient) holders(ctx context.Context, addr string, r holderRequest) (placer.Holders, error) {
	var h placer.Holders
	err := p.http.PostWithStallTimeout(ctx, holderTimeout, addr, pathHolders, r, &h)
	return h, err
}

// FetchConfig implements configsync.Peers.
func (p *peerClient) FetchConfig(ctx context.Context, addr string, r configsync.Request) (configsync.Transfer, error) {
	var t configsync.Transfer
	err := p.http.PostWithStallTimeout(ctx, configTimeout, addr, pathConfig, r, &t)
	return t, err
}

// Admit implements dispatch.Owners.
func (p *peerClient) Admit(ctx context.Context, owner string, r dispatch.AdmissionRequest) (dispatch.AdmissionReply, error) {
	var reply dispatch.AdmissionReply
	timeout := admissionTimeout
	if r.Account != nil {
		timeout = accountTimeout
	}
	err := p.postTo(ctx, timeout, owner, pathAdmission, r, &reply)
	return reply, err
}

// Notify implements dispatch.Accounts.
func (p *peerClient) Notify(ctx context.Context, owner string, m admission.Message) (admission.Ack, error) {
	var ack admission.Ack
	err := p.postTo(ctx, accountTimeout, owner, pathAccount, m, &ack)
	return ack, err
}

// Grant implements dispatch.Accounts.
func (p *peerClient) Grant(ctx context.Context, sender string, m dispatch.GrantMessage) error {
	var reply struct{}
	return p.postTo(ctx, accountTimeout, sender, pathGranted, m, &reply)
}

// RequestGrant implements quota.GrantClient.
func (p *peerClient) RequestGrant(ctx context.Context, gateway string, r quota.Request) (quota.Reply, error) {
	var reply quota.Reply
	err := p.postTo(ctx, grantTimeout, gateway, pathGrant, r, &reply)
	return reply, wrapNotRunning(err)
}

// requestPermit requests a permit of a backend server's rate limit from another gateway.
func (p *peerClient) requestPermit(ctx context.Context, gateway string, m permitMessage) (permitReply, error) {
	var reply permitReply
	err := p.postTo(ctx, grantTimeout, gateway, pathPermit, m, &reply)
	return reply, wrapNotRunning(err)
}

// An originsMessage carries records of where streams began.
type originsMessage struct {
	Records []resumption.Record `json:"records"`
}

// sendOrigins implements originPeers.
func (p *peerClient) sendOrigins(ctx context.Context, gateway string, records []resumption.Record) error {
	var reply struct{}
	return p.postTo(ctx, originTimeout, gateway, pathOrigins, originsMessage{Records: records}, &reply)
}

// findOrigin implements originPeers.
func (p *peerClient) findOrigin(ctx context.Context, gateway string, q originQuery) (originReply, error) {
	var reply originReply
	err := p.postTo(ctx, originTimeout, gateway, pathOrigin, q, &reply)
	return reply, err
}

// requestTrial implements trialPeers.
func (p *peerClient) requestTrial(ctx context.Context, gateway string, r trialRequest) (trialReply, error) {
	var reply trialReply
	err := p.postTo(ctx, trialRequestTimeout, gateway, pathTrial, r, &reply)
	return reply, err
}

// wrapNotRunning adds quota.ErrNotRunning to the error of a refused connection, which shows that the other process is
// not running.
func wrapNotRunning(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", quota.ErrNotRunning, err)
	}
	return err
}

// postTo posts a message to the gateway with the given id and decodes the response into out.
func (p *peerClient) postTo(ctx context.Context, timeout time.Duration, gateway, path string, in, out any) error {
	addr := p.gateways.addr(gateway)
	if addr == "" {
		return eris.Errorf("gateway: the address of gateway %q is not known", gateway)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.http.Post(ctx, addr, path, in, out)
}
