package backend_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

// run returns the record of a run of the server s.
func run(id string) backend.Server {
	return backend.Server{ID: id, Instance: "s", Service: "llm", Residents: []backend.Resident{{Model: "of " + id}}}
}

// TestRestart checks that a new run of a server replaces the former one, which then never returns,
// whatever the order of their start times.
func TestRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	update := func(id string) func(r *backend.Registry) []backend.Restart {
		return func(r *backend.Registry) []backend.Restart { return r.Apply([]backend.Change{{Server: run(id)}}, now) }
	}
	replace := func(id string) func(r *backend.Registry) []backend.Restart {
		return func(r *backend.Registry) []backend.Restart { return r.Replace([]backend.Server{run(id)}, now) }
	}
	gone := func(r *backend.Registry) []backend.Restart {
		return r.Apply([]backend.Change{{Server: backend.Server{ID: "s"}, Gone: true}}, now)
	}
	tests := map[string]struct {
		steps    []func(r *backend.Registry) []backend.Restart
		want     string
		restarts int
	}{
		"a change names another run":                {steps: steps(update("s@2")), want: "s@2", restarts: 1},
		"a list names another run":                  {steps: steps(replace("s@2")), want: "s@2", restarts: 1},
		"the clock was set back":                    {steps: steps(update("s@0")), want: "s@0", restarts: 1},
		"an old change comes late":                  {steps: steps(update("s@2"), update("s@1")), want: "s@2", restarts: 1},
		"an old list comes late":                    {steps: steps(update("s@2"), replace("s@1")), want: "s@2", restarts: 1},
		"a heartbeat":                               {steps: steps(update("s@1")), want: "s@1"},
		"gone in between":                           {steps: steps(gone, update("s@2")), want: "s@2", restarts: 1},
		"gone, back and an old change comes late":   {steps: steps(gone, update("s@2"), update("s@1")), want: "s@2", restarts: 1},
		"gone, and an old change of the run before": {steps: steps(update("s@2"), gone, update("s@1")), restarts: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r backend.Registry
			r.Replace([]backend.Server{run("s@1")}, now)
			r.SetResidency(map[string]backend.Residency{"s@1": {Residents: []backend.Resident{{Model: "published"}}}}, now)
			restarts := 0
			for _, step := range test.steps {
				restarts += len(step(&r))
			}
			r.Expire(now.Add(2 * time.Second))
			assert.Equal(t, restarts, test.restarts)
			servers := r.Snapshot().Service("llm")
			if test.want == "" {
				assert.Equal(t, len(servers), 0)
				return
			}
			assert.Equal(t, len(servers), 1)
			assert.Equal(t, servers[0].ID, test.want)
			assert.Equal(t, servers[0].Holds("published", ""), test.want == "s@1", "what was known of a run ends with it")
		})
	}
}

func steps(list ...func(r *backend.Registry) []backend.Restart) []func(r *backend.Registry) []backend.Restart {
	return list
}

// TestUnusableRecord checks that an unusable record removes only its server, at once even if most
// records become unusable together, and that a valid record brings the server back.
func TestUnusableRecord(t *testing.T) {
	now := time.Unix(1000, 0)
	var r backend.Registry
	r.Replace(servers(3), now)
	var unusable []backend.Change
	for _, name := range []string{"s0", "s1"} {
		unusable = append(unusable, backend.Change{Server: backend.Server{ID: name}, Unusable: true})
	}
	r.Apply(unusable, now)
	assert.Equal(t, r.Snapshot().Len(), 1)
	_, ok := r.Snapshot().Server("s2")
	assert.Assert(t, ok)
	r.Update(servers(3)[0], now)
	assert.Equal(t, r.Snapshot().Len(), 2)
}

// TestServersWithoutInstance checks that servers without an Instance are removed if most servers
// have one, and kept otherwise.
func TestServersWithoutInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	withInstance := func(name string) backend.Server {
		return backend.Server{ID: name + "@1", Instance: name, Service: "app"}
	}
	tests := map[string]struct {
		list []backend.Server
		want int
	}{
		"no platform tells it": {list: servers(3), want: 3},
		"one record lacks it":  {list: append(servers(1), withInstance("a"), withInstance("b")), want: 2},
		"one record has it":    {list: append(servers(2), withInstance("a")), want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r backend.Registry
			r.Replace(test.list, now)
			assert.Equal(t, r.Snapshot().Len(), test.want)
			assert.Equal(t, len(r.Snapshot().Unstarted()), len(test.list)-test.want)
		})
	}
}
