package placer_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/internal/placer"
	"rockcleat/serverspeed"
	"rockcleat/table"
)

// startLearning starts a placer that learns the speeds of servers and records the changes that it notices.
func startLearning(f *fixture, known map[string]float64, noticed *[]string) *placer.Placer {
	routing := table.NewRouting(1, nil, []table.Service{{Name: service, Engine: f.spec}}, table.RequestLimits{})
	p := placer.New(placer.Options{
		Lease: f.lease, Engines: f.engines, Registry: &f.registry, Routing: func() *table.Routing { return routing },
		SettleTime: ttl, FirstStart: true, Clock: f.clock, Log: zap.NewNop(), LearnSpeeds: true,
		ServerFactors: func() map[string]float64 { return known },
		OnFactorChange: func(server string, factor float64) {
			*noticed = append(*noticed, fmt.Sprintf("%s %.1f", server, factor))
		},
	})
	f.placer = p
	p.Start()
	f.t.Cleanup(func() { p.Stop(f.t.Context()) })
	return p
}

// TestServerFactorsAreExchanged guards against factors that gateways get late, twice or without having asked, and
// against samples of servers that are not listed.
func TestServerFactorsAreExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var noticed []string
		f := newFixture(t, 2, []string{"m0", "m1"}, []string{"m0", "m1"}, []string{"m0", "m1"})
		p := startLearning(f, nil, &noticed)
		f.advance(5 * time.Second)
		for range 200 {
			p.Report(placer.Report{GatewayID: "a", FactorsVersion: placer.NoFactors, ServerSamples: []serverspeed.Sample{
				{Server: "e0", Model: "m0", Value: 10}, {Server: "e1", Model: "m0", Value: 10}, {Server: "e2", Model: "m0", Value: 20},
				{Server: "gone", Model: "m0", Value: 1},
			}})
		}
		reply := p.Report(placer.Report{GatewayID: "b", FactorsVersion: placer.NoFactors})
		assert.Equal(t, len(reply.Factors), 1, "%v", reply.Factors)
		assert.Assert(t, math.Abs(reply.Factors["e2"]-2) < 0.2, "%v", reply.Factors)
		assert.DeepEqual(t, noticed, []string{"e2 2.0"})
		again := p.Report(placer.Report{GatewayID: "b", FactorsVersion: reply.FactorsVersion})
		assert.Equal(t, len(again.Factors), 0)
		old := p.Report(placer.Report{GatewayID: "old"})
		assert.Equal(t, len(old.Factors), 0, "a gateway that does not use factors gets none")
		assert.Equal(t, old.FactorsVersion, int64(0))

		f.lease.set(9)
		f.advance(5 * time.Second)
		next := p.Report(placer.Report{GatewayID: "b", FactorsVersion: reply.FactorsVersion})
		assert.Assert(t, !placer.IsSameTerm(next.FactorsVersion, reply.FactorsVersion))
		assert.Equal(t, len(next.Factors), 1, "another term begins with all that it knows")
		assert.Assert(t, math.Abs(next.Factors["e2"]-2) < 0.2, "%v", next.Factors)
	})
}

// TestNewLeaderKnowsFactors guards against a change of the leader that makes all servers equal.
func TestNewLeaderKnowsFactors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var noticed []string
		f := newFixture(t, 2, []string{"m0", "m1"}, []string{"m0", "m1"})
		p := startLearning(f, map[string]float64{"e1": 1.6, "gone": 2}, &noticed)
		f.advance(5 * time.Second)
		reply := p.Report(placer.Report{GatewayID: "b", FactorsVersion: placer.NoFactors})
		assert.DeepEqual(t, reply.Factors, map[string]float64{"e1": 1.6})
	})
}

// TestMessagesWithoutFactors guards against fields that a build without factors would not know, and bounds the size of
// the new ones.
func TestMessagesWithoutFactors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t, 2, []string{"m0", "m1"}).start(true)
		reply := p.Report(placer.Report{GatewayID: "a", ServerSamples: []serverspeed.Sample{{Server: "e0", Value: 1}}, FactorsVersion: 1})
		for _, m := range []any{placer.Report{GatewayID: "a"}, reply} {
			data, err := json.Marshal(m)
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(string(data), "servers") && !strings.Contains(string(data), "factors"), "%s", data)
		}
	})
	sample := serverspeed.Sample{Server: "i-1119d91f44", Model: "model-0123456", Kind: serverspeed.Prefill, Value: 0.00571}
	data, err := json.Marshal(sample)
	assert.NilError(t, err)
	t.Logf("a sample has %d bytes", len(data))
	assert.Assert(t, len(data) <= 60, "%s", data)
}
