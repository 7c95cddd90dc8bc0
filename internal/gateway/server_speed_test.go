package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/internal/config"
	"rockcleat/internal/placer"
	"rockcleat/internal/wire"
	"rockcleat/serverspeed"
)

// TestServerSpeedSetting guards against factors that the leader learns or sends although the setting is off, and against
// a slow server that operators do not see.
func TestServerSpeedSetting(t *testing.T) {
	for name, learn := range map[string]bool{"on": true, "off": false} {
		t.Run(name, func(t *testing.T) {
			var servers []*fakeServer
			for _, id := range []string{"s1", "s2", "s3"} {
				servers = append(servers, newFakeServer(t, id, respond(http.StatusOK, "fine")))
			}
			env := newTestEnvWith(t, func(s *config.Gateway) { s.Speeds.Learn = learn }, servers...)
			env.awaitServers(len(servers))
			client := wire.NewClient("", http.DefaultTransport)
			var reply placer.Reply
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				r := placer.Report{GatewayID: "far", Addr: "127.0.0.1:1", Hall: "far", FactorsVersion: placer.NoFactors}
				for range 40 {
					for i, ms := range []float64{30, 30, 60} {
						r.ServerSamples = append(r.ServerSamples, serverspeed.Sample{Server: servers[i].id, Kind: serverspeed.Work, Value: ms})
					}
				}
				reply = placer.Reply{}
				if err := client.Post(t.Context(), env.peer, "/v1/gateway", r, &reply); err != nil || !reply.IsLeader {
					return poll.Continue("leader %v, %v", reply.IsLeader, err)
				}
				return poll.Success()
			})
			lines := env.logs.FilterMessage("server speed").AllUntimed()
			if !learn {
				assert.Equal(t, len(reply.Factors)+len(lines), 0, "%v %v", reply.Factors, lines)
				assert.Equal(t, reply.FactorsVersion, int64(0))
				return
			}
			assert.Equal(t, len(reply.Factors), 1, "%v", reply.Factors)
			assert.Equal(t, len(lines), 1, "%v", lines)
			fields := lines[0].ContextMap()
			assert.Equal(t, fields["server"], "s3")
			assert.Equal(t, fields["service"], "app")
			assert.Equal(t, fields["state"], "slow")
		})
	}
}
