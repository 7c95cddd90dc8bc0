package fleet

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// A State is the state of a model or adapter on a backend server.
type State string

// States of a resident. It occupies memory in each of them.
const (
	StateLoading   State = "loading"
	StateReady     State = "ready"
	StateUnloading State = "unloading"
)

// A Resident is a model or adapter on one accelerator of a backend server.
type Resident struct {
	Name string `json:"name"`
	// Accelerator is the index of the accelerator.
	Accelerator int   `json:"acc"`
	State       State `json:"state"`
	MemoryMiB   int   `json:"mib,omitempty"`
}

// An Accelerator is the memory account of one accelerator.
type Accelerator struct {
	// MemoryMiB is the total memory.
	MemoryMiB int `json:"mib"`
	// ReservedMiB is the memory of residents and of loads that may still take effect.
	ReservedMiB int `json:"used"`
}

// FreeMiB returns the memory that is not reserved.
func (a Accelerator) FreeMiB() int { return a.MemoryMiB - a.ReservedMiB }

// A Demand is the demand for one row of the table at one backend server or in one cell.
type Demand struct {
	// Name is the name of the row.
	Name string `json:"name"`
	// Level is the demand on a logarithmic scale, so that small changes are not sent; see
	// placement.LevelOf. 0 means no demand.
	Level int `json:"lvl"`
	// Version is the cell version that last changed the demand. It is set in demands of cells.
	Version uint64 `json:"v,omitempty"`
}

// A Server is the record of one backend server.
type Server struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// Hall is the data hall of the server.
	Hall string `json:"hall"`
	// Incarnation identifies one run of the server's agent.
	Incarnation string `json:"inc"`
	// Services lists the plain services that the server provides.
	Services []string `json:"services,omitempty"`
	// Slots is the maximum number of concurrent requests per accelerator, or of the whole server if
	// it provides plain services.
	Slots        int           `json:"slots,omitempty"`
	Accelerators []Accelerator `json:"accs,omitempty"`
	Residents    []Resident    `json:"res,omitempty"`
	// Demand is set only in reports of the server's agent to its planner. The demand of a cell
	// is sent separately, because it changes far more often than the residents.
	Demand []Demand `json:"dem,omitempty"`
	// Leaving reports whether the server is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Gone reports whether the server's VM is no longer in the platform's list.
	Gone bool `json:"gone,omitempty"`
	// Version is the cell version that last changed the record.
	Version uint64 `json:"v"`
}

// Same reports whether the records are equal apart from their versions.
func (s Server) Same(o Server) bool {
	return s.ID == o.ID && s.Addr == o.Addr && s.Hall == o.Hall && s.Incarnation == o.Incarnation &&
		s.Slots == o.Slots && s.Leaving == o.Leaving && s.Gone == o.Gone &&
		slices.Equal(s.Services, o.Services) && slices.Equal(s.Accelerators, o.Accelerators) &&
		slices.Equal(s.Residents, o.Residents) && slices.Equal(s.Demand, o.Demand)
}

// Has reports whether the named model or adapter is ready on the server.
func (s Server) Has(name string) bool {
	return slices.ContainsFunc(s.Residents, func(r Resident) bool {
		return r.Name == name && r.State == StateReady
	})
}

// A CellVersion identifies a version of a cell's records. Versions are ordered by epoch, then by
// number.
type CellVersion struct {
	// Cell is the ID of the cell.
	Cell string `json:"c"`
	// Epoch is the lease token of the planner that wrote the version.
	Epoch   int64  `json:"e"`
	Version uint64 `json:"v"`
}

// A Digest lists the version of every cell that a process knows.
type Digest []CellVersion

// MarshalJSON encodes each version as [cell, epoch, version]. The form is compact because every
// request for deltas includes a digest.
func (d Digest) MarshalJSON() ([]byte, error) {
	arrays := make([][]any, len(d))
	for i, v := range d {
		arrays[i] = []any{v.Cell, v.Epoch, v.Version}
	}
	return json.Marshal(arrays)
}

// UnmarshalJSON decodes the form that MarshalJSON writes.
func (d *Digest) UnmarshalJSON(data []byte) error {
	var arrays []json.RawMessage
	if err := json.Unmarshal(data, &arrays); err != nil {
		return err
	}
	*d = make(Digest, len(arrays))
	for i, array := range arrays {
		v := &(*d)[i]
		if err := json.Unmarshal(array, &[]any{&v.Cell, &v.Epoch, &v.Version}); err != nil {
			return err
		}
	}
	return nil
}

// A CellDelta holds the records of a cell that changed after some version, and the version that it
// leads to.
type CellDelta struct {
	CellVersion
	// Full reports whether the delta replaces all records of the cell.
	Full    bool     `json:"full,omitempty"`
	Servers []Server `json:"servers,omitempty"`
	Demand  []Demand `json:"demand,omitempty"`
}

// A cell holds the records of one cell. servers is keyed by ID, demand by row name.
type cell struct {
	epoch   int64
	version uint64
	servers map[string]Server
	demand  map[string]Demand
}

// A View is a process's copy of the records of all cells. It is safe for concurrent use, and its zero
// value is empty.
type View struct {
	mu    sync.RWMutex
	cells map[string]*cell
	// byName maps names of rows to the servers that serve them. Its slices are never modified.
	byName map[string][]Server
}

// Digest returns the version of each cell in the view, ordered by cell.
func (v *View) Digest() Digest {
	v.mu.RLock()
	defer v.mu.RUnlock()
	digest := make(Digest, 0, len(v.cells))
	for id, c := range v.cells {
		digest = append(digest, CellVersion{Cell: id, Epoch: c.epoch, Version: c.version})
	}
	slices.SortFunc(digest, func(a, b CellVersion) int { return cmp.Compare(a.Cell, b.Cell) })
	return digest
}

// Since returns the deltas that a process with the given digest lacks.
func (v *View) Since(digest Digest) []CellDelta {
	peerVersions := make(map[string]CellVersion, len(digest))
	for _, d := range digest {
		peerVersions[d.Cell] = d
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	var deltas []CellDelta
	for id, c := range v.cells {
		peerVersion := peerVersions[id]
		if peerVersion.Epoch > c.epoch || peerVersion.Epoch == c.epoch && peerVersion.Version >= c.version {
			continue
		}
		full := peerVersion.Epoch != c.epoch
		d := CellDelta{CellVersion: CellVersion{Cell: id, Epoch: c.epoch, Version: c.version}, Full: full}
		for _, s := range c.servers {
			if full || s.Version > peerVersion.Version {
				d.Servers = append(d.Servers, s)
			}
		}
		for _, demand := range c.demand {
			if full || demand.Version > peerVersion.Version {
				d.Demand = append(d.Demand, demand)
			}
		}
		deltas = append(deltas, d)
	}
	return deltas
}

// Merge applies the deltas that are newer than the view, and reports whether there were any. A delta
// that is not full is ignored unless the view has its epoch.
func (v *View) Merge(deltas []CellDelta) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, d := range deltas {
		changed = v.mergeCell(d) || changed
	}
	if changed {
		v.rebuildIndex()
	}
	return changed
}

// mergeCell applies one delta and reports whether it did. The caller holds v.mu.
func (v *View) mergeCell(d CellDelta) bool {
	if v.cells == nil {
		v.cells = make(map[string]*cell)
	}
	c, ok := v.cells[d.Cell]
	if ok && (d.Epoch < c.epoch || d.Epoch == c.epoch && d.Version <= c.version) {
		return false
	}
	if !d.Full && (!ok || d.Epoch != c.epoch) {
		return false
	}
	next := &cell{epoch: d.Epoch, version: d.Version, servers: make(map[string]Server), demand: make(map[string]Demand)}
	if !d.Full {
		maps.Copy(next.servers, c.servers)
		maps.Copy(next.demand, c.demand)
	}
	for _, demand := range d.Demand {
		next.demand[demand.Name] = demand
	}
	for _, s := range d.Servers {
		next.servers[s.ID] = s
	}
	v.cells[d.Cell] = next
	return true
}

// rebuildIndex computes byName from cells. The caller holds v.mu.
func (v *View) rebuildIndex() {
	v.byName = make(map[string][]Server)
	for _, c := range v.cells {
		for _, s := range c.servers {
			if s.Gone {
				continue
			}
			v.indexServer(s)
		}
	}
}

// indexServer adds a server to byName for each row that it serves. The caller holds v.mu.
func (v *View) indexServer(s Server) {
	names := make(map[string]bool)
	for _, r := range s.Residents {
		if r.State == StateReady {
			names[r.Name] = true
		}
	}
	for _, name := range s.Services {
		names[name] = true
	}
	for name := range names {
		v.byName[name] = append(v.byName[name], s)
	}
}

// Serving returns the servers that serve the named model, adapter or service, including those that
// are leaving. The caller must not modify the slice.
func (v *View) Serving(name string) []Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byName[name]
}

// Servers returns all servers that are not gone, ordered by ID.
func (v *View) Servers() []Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var all []Server
	for _, c := range v.cells {
		for _, s := range c.servers {
			if !s.Gone {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Demand returns the demand in one cell, in unspecified order.
func (v *View) Demand(id string) []Demand {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, ok := v.cells[id]
	if !ok {
		return nil
	}
	return slices.Collect(maps.Values(c.demand))
}

// Cell returns the records of one cell, including those of servers that are gone, in unspecified
// order, and the version of the cell.
func (v *View) Cell(id string) ([]Server, CellVersion) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, ok := v.cells[id]
	if !ok {
		return nil, CellVersion{Cell: id}
	}
	return slices.Collect(maps.Values(c.servers)), CellVersion{Cell: id, Epoch: c.epoch, Version: c.version}
}
