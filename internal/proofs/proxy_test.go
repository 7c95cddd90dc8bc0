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

// A faultProxy stands between others and one address.
type faultProxy struct {
	*toxiproxy.Proxy
}

// Directions of a toxic: what the callee sends, and what the caller sends.
const (
	fromCallee = "downstream"
	fromCaller = "upstream"
)

func (tr *trial) proxy(upstream string) *faultProxy {
	tr.t.Helper()
	addr, err := lab.FreeAddr()
	tr.must(err)
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(server, upstream, addr, upstream)
	tr.must(p.Start())
	tr.t.Cleanup(p.Stop)
	return &faultProxy{Proxy: p}
}

// add adds a toxic with attributes in JSON.
func (p *faultProxy) add(tr *trial, kind, direction, attributes string) {
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{%s}}`, kind+direction, kind, direction, attributes)
	_, err := p.Toxics.AddToxicJson(strings.NewReader(text))
	assert.Check(tr.t, err)
}

// heal removes every toxic.
func (p *faultProxy) heal() { p.Toxics.ResetToxics(context.Background()) }

// proxied puts proxies before a backend's agent, one for requests and one for
// control, and tells the platform's list of them.
func (tr *trial) proxied(b *lab.Backend) (requests, control *faultProxy) {
	requests, control = tr.proxy(b.Agent.Addr), tr.proxy(b.Agent.Control)
	tr.must(tr.PutVM(tr.ctx, inventory.VM{
		ID: b.Agent.ID, Role: inventory.RoleBackend, Hall: b.Agent.Hall, Addr: requests.Listen, Control: control.Listen,
		State: inventory.VMLive,
	}))
	tr.until("requests go through the proxy of "+b.Agent.ID, func() bool {
		for i := range tr.Entries {
			st, err := tr.Status(tr.ctx, tr.liveEntry(i), false)
			if err != nil || !knows(st, b.Agent.ID, requests.Listen) {
				return false
			}
		}
		return true
	})
	return requests, control
}
