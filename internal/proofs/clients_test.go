package proofs

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/internal/config"
	"rockcleat/internal/lab"
	"rockcleat/internal/lab/crowd"
)

const (
	// crowdMemoryMB is the memory of the smallest machine that a daemon runs on.
	crowdMemoryMB = 144
	// crowdBodyBytes is the limit on bodies in the settings of the daemons.
	crowdBodyBytes = 256 << 10
)

// crowdTarget describes requests that both daemons get. An agent refuses them all, since they lack the secret.
var crowdTarget = crowd.Target{Served: lab.SmallPath + "/x", Missing: "/none", Headers: "Host: app.example\r\n", BodyLimit: crowdBodyBytes}

// TestMisbehavingClients checks that clients which exceed the limits do not end an entry or an agent, do not make it use more
// memory than its machine has, and do not keep the entry from answering others afterwards. The control addresses are reached
// by others than the daemons too: they refuse a request only after they have read its head.
func TestMisbehavingClients(t *testing.T) {
	entry := func(s *lab.System) *lab.Node { return s.Entries[0] }
	agent := func(s *lab.System) *lab.Node { return s.Backends[0].Agent }
	addr := func(n *lab.Node) string { return n.Addr }
	control := func(n *lab.Node) string { return n.Control }
	tests := map[string]struct {
		node       func(*lab.System) *lab.Node
		addr       func(*lab.Node) string
		behaviours map[string]crowd.Behaviour
	}{
		"entry":         {node: entry, addr: addr, behaviours: crowdTarget.All()},
		"entry control": {node: entry, addr: control, behaviours: crowdTarget.LargestHeads()},
		"agent":         {node: agent, addr: addr, behaviours: crowdTarget.LargestHeads()},
		"agent control": {node: agent, addr: control, behaviours: crowdTarget.LargestHeads()},
	}
	for name, test := range tests {
		for behaviour, b := range test.behaviours {
			t.Run(name+"/"+behaviour, func(t *testing.T) {
				s := startCrowdSystem(t)
				n := test.node(s)
				meter := crowd.StartMeter(n.PID(), n.Addr, n.Control)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				b.Run(ctx, test.addr(n))
				answered := answersOrdinaryRequest(t, s.Entries[0])
				most := meter.Stop()
				t.Log(most)
				assert.Check(t, !n.Exited(), "the process has ended")
				assert.Check(t, answered, "an ordinary request is not answered")
				assert.Check(t, most.Memory+most.Unread <= crowdMemoryMB*1e6, "its machine has %d MB, it used %d", crowdMemoryMB, (most.Memory+most.Unread)/1e6)
			})
		}
	}
}

// startCrowdSystem starts an entry and one plain service with its agent. The system stops when the test ends.
func startCrowdSystem(t *testing.T) *lab.System {
	dir, err := lab.TempDir()
	assert.NilError(t, err)
	o := lab.SmallOptions(binDir, dir)
	o.Entries, o.Engines, o.Services = 1, 0, 1
	o.Rows = o.Rows[len(o.Rows)-1:]
	o.Entry = func(e *config.Entry) { e.Limits.BodyBytes = crowdBodyBytes }
	o.Agent = func(a *config.Agent) { a.Limits.BodyBytes = crowdBodyBytes }
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	s, err := lab.Start(ctx, o)
	assert.NilError(t, err)
	t.Cleanup(func() { s.Stop(); cancel() })
	return s
}

// answersOrdinaryRequest reports whether one of a bounded number of attempts of a request inside the limits succeeds.
func answersOrdinaryRequest(t *testing.T, entry *lab.Node) bool {
	const (
		attempts = 20
		pause    = 500 * time.Millisecond
	)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	for range attempts {
		resp, err := client.Post("http://"+entry.Addr+crowdTarget.Served, "text/plain", strings.NewReader("body"))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
			t.Log(resp.Status)
		}
		time.Sleep(pause)
	}
	return false
}
