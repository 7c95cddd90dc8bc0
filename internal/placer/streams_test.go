package placer_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/internal/placer"
)

// testedVersions are the software versions of the engines of newVersionedFixture.
var testedVersions = []string{"v2", "v1", "v1"}

// newVersionedFixture returns a started fixture whose engines run testedVersions and have one model too many each: e0 and
// e1 hold m0, m1 and m2, e2 holds m1, m2 and m3. The demand for m3 makes the leader evict one of the others.
func newVersionedFixture(t *testing.T) *fixture {
	f := newFixture(t, 4, []string{"m0", "m1", "m2"}, []string{"m0", "m1", "m2"}, []string{"m1", "m2", "m3"})
	var servers []backend.Server
	for i, s := range f.registry.Snapshot().Service(service) {
		server := *s
		server.Version = testedVersions[i]
		servers = append(servers, server)
	}
	f.registry.Replace(servers, f.clock.Now())
	f.start(true)
	return f
}

// reportStreams reports demand for m3, and the versions that streams of m0 need.
func (f *fixture) reportStreams(n int, versions string) {
	f.placer.Report(placer.Report{GatewayID: "g", Demands: map[string]dispatch.Demand{
		"m0/a1": {Arrived: n, WorkTokens: n * 10, Service: service, StreamVersions: versions},
		"m1":    {Arrived: n, WorkTokens: n * 50_000, Service: service},
		"m2":    {Arrived: n, WorkTokens: n * 50_000, Service: service},
		"m3":    {Arrived: n, WorkTokens: n * 400_000, Service: service},
	}})
}

// evictedAt returns the engines that were ordered to unload m0.
func (f *fixture) evictedAt() []string {
	var servers []string
	for _, o := range f.engines.orders() {
		if o.order.Unload && o.order.Model == "m0" && !slices.Contains(servers, o.server) {
			servers = append(servers, o.server)
		}
	}
	return servers
}

// TestStreamsKeepTheirModel guards against a leader that unloads a model from the only engine at which streams can go on:
// streams that it knows of when it plans, and streams that begin while an unload is announced.
func TestStreamsKeepTheirModel(t *testing.T) {
	tests := map[string]struct {
		// versions returns the versions that streams need n reports after the first one.
		versions func(n int) string
		// kept is the engine that must keep m0; empty if one engine must have unloaded it, whichever.
		kept string
	}{
		"no streams":                       {versions: func(int) string { return "" }},
		"streams at the one engine of v2":  {versions: func(int) string { return "v2\n" }, kept: "e0"},
		"streams at the engine of v1":      {versions: func(int) string { return "v1\n" }, kept: "e1"},
		"streams at a version that no one": {versions: func(int) string { return "v3\n" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionedFixture(t)
				for n := range 100 {
					f.reportStreams(n, test.versions(n))
					f.advance(100 * time.Millisecond)
				}
				evicted := f.evictedAt()
				assert.Equal(t, len(evicted), 1, "%v", f.engines.orders())
				assert.Assert(t, evicted[0] != test.kept, "%v", f.engines.orders())
			})
		})
	}
}

// TestUnloadIsWithdrawnForStreams guards against the unload of a model for whose streams the leader learns only after it
// has planned the unload.
func TestUnloadIsWithdrawnForStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionedFixture(t)
		unloading := ""
		for n := range 200 {
			versions := ""
			if unloading != "" {
				// Streams run at both versions, so that neither engine may unload their model.
				versions = "v1\nv2\n"
			}
			f.reportStreams(n, versions)
			f.advance(100 * time.Millisecond)
			if unloading == "" {
				unloading = f.announcedUnload()
			}
		}
		assert.Assert(t, unloading != "", "no unload was announced")
		assert.Equal(t, len(f.evictedAt()), 0, "%v", f.engines.orders())
		assert.Equal(t, f.announcedUnload(), "", "the engine is not used for its model again")
	})
}

// announcedUnload returns the engine that is about to unload m0 according to the published residency, or an empty string.
func (f *fixture) announcedUnload() string {
	reply := f.placer.Report(placer.Report{GatewayID: "watcher"})
	for _, id := range []string{"e0", "e1"} {
		r, ok := reply.Residency[id]
		if ok && !r.HoldsAny([]string{"m0"}) {
			return id
		}
	}
	return ""
}

// TestAdapterIsLoadedAtTheVersionOfItsStreams guards against streams that wait in vain because their adapter is loaded at
// another software version only, and against loads for requests that can go anywhere.
func TestAdapterIsLoadedAtTheVersionOfItsStreams(t *testing.T) {
	tests := map[string]struct {
		versions string
		want     int
	}{
		"streams at the other version": {versions: "v1\n", want: 1},
		"streams at its version":       {versions: "v2\n"},
		"no streams":                   {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionedFixture(t)
				f.engines.engines["e0"].residents[0].Adapters = []string{"a1"}
				for range 60 {
					f.placer.Report(placer.Report{GatewayID: "g", Demands: map[string]dispatch.Demand{
						"m0/a1": {Arrived: 1, Waiting: 1, Service: service, StreamVersions: test.versions},
					}})
					f.advance(100 * time.Millisecond)
				}
				orders := f.engines.orders()
				assert.Equal(t, len(orders), test.want, "%v", orders)
				for _, o := range orders {
					assert.Equal(t, o.server, "e1")
					assert.Equal(t, o.order.Adapter, "a1")
				}
			})
		})
	}
}
