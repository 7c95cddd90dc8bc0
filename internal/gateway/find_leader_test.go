package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/internal/config"
	"rockcleat/internal/placer"
	"rockcleat/kv"
	"rockcleat/kv/kvtest"
	"rockcleat/lease"
)

// fakePeers is a transport to simulated gateways, one of which is the leader. The others reply without its address.
type fakePeers struct {
	t      *testing.T
	leader string
	// requested holds the addresses of the requests, in order.
	requested []string
}

// RoundTrip implements http.RoundTripper.
func (p *fakePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	p.requested = append(p.requested, r.URL.Host)
	body, err := json.Marshal(replyMessage{Reply: placer.Reply{IsLeader: r.URL.Host == p.leader}})
	assert.NilError(p.t, err)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

// TestLeaderIsFoundDespiteAnOldRecord checks that a gateway finds the leader even if its record of the lease names a
// gateway that no longer leads, and that it keeps reporting to the leader. Otherwise it would get no residency and no
// changes until the record is updated.
func TestLeaderIsFoundDespiteAnOldRecord(t *testing.T) {
	// tries is large enough to make the probability of missing the leader negligible.
	const tries = 100
	store := kvtest.New(clocktest.Real{})
	peers := &fakePeers{t: t, leader: "g5:1"}
	o := Options{
		Settings: config.Gateway{ID: "g0", PeerListen: "g0:1", Gateways: 8}, Store: store, AllKeys: store, ProductKeys: store,
		Decoder: plainDecoder{}, Clock: clocktest.Real{}, Log: zap.NewNop(), Metrics: noMetrics{}, Peers: peers,
	}
	p := newComponents(t.Context(), o)
	var list []placer.Gateway
	for _, id := range []string{"g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7"} {
		list = append(list, placer.Gateway{Gateway: dispatch.Gateway{ID: id}, Addr: id + ":1"})
	}
	p.gateways.set(list)
	record, err := json.Marshal(lease.Record{Holder: "g1", Addr: "g1:1"})
	assert.NilError(t, err)
	_, err = store.Put(t.Context(), kv.Write{Key: p.leader.lease.Key(), Value: record, Expect: kv.Absent})
	assert.NilError(t, err)
	assert.NilError(t, p.leader.lease.AcquireOrRenew(t.Context()))

	r := p.newReporter(o)
	for range tries {
		r.report(t.Context())
		if peers.requested[len(peers.requested)-1] == peers.leader {
			break
		}
	}
	assert.Equal(t, peers.requested[0], "g1:1", "the record is the first guess")
	for range 5 {
		r.report(t.Context())
		assert.Equal(t, peers.requested[len(peers.requested)-1], peers.leader, "asked %v", peers.requested)
	}
}
