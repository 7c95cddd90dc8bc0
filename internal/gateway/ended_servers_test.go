package gateway

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// TestEndedServersInReports guards against reports that name servers which only lost a connection, or that go on naming
// a server after the platform has removed it, so that the leader would call servers that are gone.
func TestEndedServersInReports(t *testing.T) {
	tests := map[string]struct {
		crashed, listed bool
		want            bool
	}{
		"a connection failed":    {listed: true},
		"crashed, still listed":  {crashed: true, listed: true, want: true},
		"crashed and not listed": {crashed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var registry backend.Registry
			server := backend.Server{ID: "a", Service: "llm"}
			if test.listed {
				registry.Update(server, time.Unix(1000, 0))
			}
			d := &crashDetector{servers: &registry, failed: map[string]*failedServer{"a": {server: &server, crashed: test.crashed}}}
			assert.Equal(t, slices.Contains(d.endedServers(), "a"), test.want)
		})
	}
}
