package backend_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
)

func servers(n int) []backend.Server {
	var list []backend.Server
	for i := range n {
		list = append(list, backend.Server{ID: fmt.Sprint("s", i), Service: "app"})
	}
	return list
}

func TestVanishedServers(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		do   func(r *backend.Registry)
		want int
	}{
		"one leaves": {do: func(r *backend.Registry) { r.Remove("s0", at(0)) }, want: 5},
		"half of them leave": {do: func(r *backend.Registry) {
			for i := range 3 {
				r.Remove(fmt.Sprint("s", i), at(i))
			}
		}, want: 3},
		"all vanish together": {do: func(r *backend.Registry) {
			for i := range 6 {
				r.Remove(fmt.Sprint("s", i), at(i))
			}
			r.Expire(at(1000))
		}, want: 6},
		"all are missing from a new list": {do: func(r *backend.Registry) { r.Replace(nil, at(0)) }, want: 6},
		"all vanish and stay away": {do: func(r *backend.Registry) {
			r.Replace(nil, at(0))
			r.Expire(at(1400))
		}, want: 0},
		"all vanish and some are back": {do: func(r *backend.Registry) {
			r.Replace(nil, at(0))
			for i := range 4 {
				r.Update(servers(6)[i], at(900))
			}
			r.Expire(at(1400))
		}, want: 4},
		"one after the other within minutes": {do: func(r *backend.Registry) {
			for i := range 6 {
				r.Remove(fmt.Sprint("s", i), at(i*60_000))
				r.Expire(at(i*60_000 + 30_000))
			}
		}, want: 0},
		"all leave as they said": {do: func(r *backend.Registry) {
			for _, s := range servers(6) {
				s.Leaving = true
				r.Update(s, at(0))
			}
			r.Replace(nil, at(1))
		}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r backend.Registry
			r.Replace(servers(6), start)
			test.do(&r)
			assert.Equal(t, r.Snapshot().Len(), test.want)
			assert.Equal(t, len(r.Snapshot().Service("app")), test.want)
		})
	}
}

func TestResidency(t *testing.T) {
	now := time.Unix(1000, 0)
	var r backend.Registry
	s := servers(1)[0]
	s.Residents = []backend.Resident{{Model: "listed"}}
	r.Replace([]backend.Server{s}, now)
	r.SetResidency(map[string]backend.Residency{"s0": {Residents: []backend.Resident{{Model: "published", Adapters: []string{"a1"}}}}}, now)
	srv, _ := r.Snapshot().Server("s0")
	assert.Assert(t, srv.Holds("published", "a1") && !srv.Holds("listed", ""), "the leader's word goes first")
	r.MergeResidency(map[string]backend.Residency{"s9": {}}, now.Add(time.Second))
	srv, _ = r.Snapshot().Server("s0")
	assert.Assert(t, srv.Holds("published", "a1"), "what has not changed stands")
	r.MergeResidency(nil, now.Add(2*time.Second))
	assert.Assert(t, !r.Expire(now.Add(4*time.Second)))
	assert.Assert(t, r.HasResidency())
	assert.Assert(t, r.Expire(now.Add(6*time.Second)))
	assert.Assert(t, !r.HasResidency(), "what was forgotten must be asked for again")
	srv, _ = r.Snapshot().Server("s0")
	assert.Assert(t, srv.Holds("listed", ""), "a holder that is silent is not believed for long")
}

// TestListedResidentsHiddenByResidency checks that the residents in the platform's list cause no
// new snapshot while the leader's residency takes precedence, and that they are used after it
// expires.
func TestListedResidentsHiddenByResidency(t *testing.T) {
	now := time.Unix(1000, 0)
	var r backend.Registry
	list := servers(2)
	r.Replace(list, now)
	r.SetResidency(map[string]backend.Residency{"s0": {Residents: []backend.Resident{{Model: "published"}}}}, now)
	before := r.Snapshot()
	s := list[0]
	s.Residents = []backend.Resident{{Model: "listed"}}
	r.Apply([]backend.Change{{Server: s}}, now)
	assert.Assert(t, r.Snapshot() == before)
	s.Leaving = true
	r.Apply([]backend.Change{{Server: s}}, now)
	srv, _ := r.Snapshot().Server("s0")
	assert.Assert(t, srv.Leaving && srv.Holds("published", ""))
	r.Expire(now.Add(time.Minute))
	srv, _ = r.Snapshot().Server("s0")
	assert.Assert(t, srv.Holds("listed", ""))
}

func TestHolding(t *testing.T) {
	var r backend.Registry
	list := servers(3)
	list[0].Residents = []backend.Resident{{Model: "a"}, {Model: "b"}}
	list[2].Residents = []backend.Resident{{Model: "a"}}
	r.Replace(list, time.Unix(1000, 0))
	tests := map[string]struct {
		service, model string
		want           []string
	}{
		"two hold it":     {service: "app", model: "a", want: []string{"s0", "s2"}},
		"one holds it":    {service: "app", model: "b", want: []string{"s0"}},
		"nobody holds it": {service: "app", model: "c"},
		"another service": {service: "x", model: "a"},
		"no model":        {service: "app", want: []string{"s0", "s1", "s2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, s := range r.Snapshot().WithModel(test.service, test.model) {
				got = append(got, s.ID)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestWarmup checks until when a server counts as warming up, depending on what its records say.
func TestWarmup(t *testing.T) {
	const unknown = -1
	start := time.Unix(1000, 0)
	later := start.Add(time.Second)
	record := func(id string, left time.Duration) backend.Server {
		return backend.Server{ID: id, Instance: "s", Service: "app", WarmupLeft: left}
	}
	tests := map[string]struct {
		records []backend.Server
		want    time.Time
	}{
		"says how long":                    {records: []backend.Server{record("s@1", 5*time.Second)}, want: later.Add(5 * time.Second)},
		"says that it is warm":             {records: []backend.Server{record("s@1", 0)}},
		"does not say and has not started": {records: []backend.Server{record("s@0", unknown)}},
		"does not say and has started":     {records: []backend.Server{record("s@1", unknown)}, want: later.Add(3 * time.Second)},
		"does not say any more":            {records: []backend.Server{record("s@1", time.Second), record("s@1", unknown)}, want: later.Add(time.Second)},
		"is warm again":                    {records: []backend.Server{record("s@1", time.Second), record("s@1", 0)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var r backend.Registry
			r.SetWarmupTime(func(string) time.Duration { return 3 * time.Second })
			r.Replace([]backend.Server{record("s@0", unknown)}, start)
			for _, s := range test.records {
				r.Update(s, later)
			}
			assert.Equal(t, r.Snapshot().WarmUntil(), test.want)
		})
	}
}

// TestAnnouncedLeaving checks that a server that has announced that it is leaving stays leaving whatever records of it
// arrive, is not kept after it vanishes, and that its successor is not affected.
func TestAnnouncedLeaving(t *testing.T) {
	now := time.Unix(100, 0)
	announced := map[string]bool{}
	var r backend.Registry
	r.SetAnnouncedLeaving(func(id string) bool { return announced[id] })
	r.Replace([]backend.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, now)
	accepts := func(id string) bool {
		s, ok := r.Snapshot().Server(id)
		return ok && s.AcceptsRequests()
	}
	announced["a"] = true
	r.Refresh(now)
	assert.Assert(t, !accepts("a") && accepts("b"))
	r.Update(backend.Server{ID: "a", Service: "s", Slots: 2}, now)
	assert.Assert(t, !accepts("a"), "an older record arrived later")
	r.Replace([]backend.Server{{ID: "a", Service: "s"}}, now)
	assert.Assert(t, !accepts("a"), "an older list arrived later")
	r.Replace(nil, now)
	_, kept := r.Snapshot().Server("a")
	assert.Assert(t, !kept, "a server that leaves has vanished for good")
	r.Update(backend.Server{ID: "a2", Instance: "a", Service: "s"}, now)
	assert.Assert(t, accepts("a2"))
}
