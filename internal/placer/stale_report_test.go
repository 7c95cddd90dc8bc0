package placer

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestReportFromBeforeAcceptedOrderIsIgnored guards against a second copy of the last report that arrives when an accepted order
// is due to be complete: the order would count as failed, and further orders would carry a sequence that the engine refuses.
func TestReportFromBeforeAcceptedOrderIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &Placer{opts: Options{Log: zap.NewNop()}}
	e := newEngineState(&backend.Server{ID: "e@1", Instance: "e"})
	before := backend.Report{ServerID: "e@1", Sequence: 3}
	assert.Assert(t, e.apply(before, now))
	p.recordOrderResult(e, orderResult{order: backend.Order{Model: "m", Sequence: 3}, outcome: backend.OrderAccepted}, now)
	e.pending, e.accepted = []backend.Order{{Model: "m"}}, true
	loaded := now.Add(2 * maxReportLag)
	if e.apply(before, loaded) {
		e.completeOrders(loaded)
	}
	assert.Equal(t, e.sequence, 4)
	assert.Equal(t, len(e.pending), 1, "the load that the engine has accepted")
}
