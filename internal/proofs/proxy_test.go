package proofs

import (
	"context"
	"fmt"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"rockcleat/internal/inventory"
	"rockcleat/internal/lab"
)

// A faultProxy is a TCP proxy that injects network faults.
type faultProxy struct {
	*toxiproxy.Proxy
}

// Directions of a toxic (a fault that toxiproxy injects): data sent by the server and data sent by
// the client.
const (
	fromServer = "downstream"
	fromClient = "upstream"
)

func (tr *trial) startProxy(upstream string) *faultProxy {
	tr.t.Helper()
	addr, err := lab.FreeAddr()
	tr.must(err)
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, upstream, addr, upstream)
	tr.must(p.Start())
	tr.t.Cleanup(p.Stop)
	return &faultProxy{Proxy: p}
}

// addToxic adds a toxic; attributes are the members of a JSON object.
func (p *faultProxy) addToxic(tr *trial, kind, direction, attributes string) {
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, kind+direction, kind, direction, attributes)
	_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	assert.Check(tr.t, err)
}

// removeToxics removes all toxics.
func (p *faultProxy) removeToxics() { p.Toxics.ResetToxics(context.Background()) }

// proxyAgent starts proxies for the request and control addresses of a backend's agent, puts their
// addresses into the platform's list and waits until every entry lists the proxy for requests.
func (tr *trial) proxyAgent(b *lab.Backend) (requests, control *faultProxy) {
	requests, control = tr.startProxy(b.Agent.Addr), tr.startProxy(b.Agent.Control)
	tr.must(tr.PutVM(tr.ctx, inventory.VM{
		ID: b.Agent.ID, Role: inventory.RoleBackend, Hall: b.Agent.Hall, Addr: requests.Listen, Control: control.Listen,
		State: inventory.VMLive,
	}))
	tr.waitUntil("requests go through the proxy of "+b.Agent.ID, func() bool {
		for i := range tr.Entries {
			st, err := tr.Status(tr.ctx, tr.runningEntry(i), false)
			if err != nil || !listsServer(st, b.Agent.ID, requests.Listen) {
				return false
			}
		}
		return true
	})
	return requests, control
}
