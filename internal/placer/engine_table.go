package placer

import (
	"rockcleat/backend"
	"rockcleat/table"
)

// An engineTable holds the engines known to the leader. The zero value is an empty table.
type engineTable struct {
	byID map[string]*engineState
	// byService lists the engines of each service, ordered by ID.
	byService map[string][]*engineState
	// servers and version are the arguments of the last sync.
	servers *backend.Snapshot
	version uint64
}

// sync adds registered engines and removes those no longer registered.
func (t *engineTable) sync(s *backend.Snapshot, routing *table.Routing) {
	if s == t.servers && routing.Version() == t.version {
		return
	}
	t.servers, t.version = s, routing.Version()
	if t.byID == nil {
		t.byID = make(map[string]*engineState)
	}
	t.byService = make(map[string][]*engineState)
	for id := range t.byID {
		if !s.Has(id) {
			delete(t.byID, id)
		}
	}
	for _, service := range routing.Services() {
		if service.Engine == nil {
			continue
		}
		for _, srv := range s.Service(service.Name) {
			e := t.byID[srv.ID]
			if e == nil {
				e = newEngineState(srv)
				t.byID[srv.ID] = e
			}
			e.server = srv
			t.byService[service.Name] = append(t.byService[service.Name], e)
		}
	}
}
