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

// The states of a resident; memory is taken in each of them.
const (
	StateLoading   State = "loading"
	StateReady     State = "ready"
	StateUnloading State = "unloading"
)

// A Resident is a model or adapter on one accelerator of a backend server.
type Resident struct {
	Name        string `json:"name"`
	Accelerator int    `json:"acc"`
	State       State  `json:"state"`
	MemoryMiB   int    `json:"mib,omitempty"`
}

// An Accelerator is one accelerator's memory in MiB.
type Accelerator struct {
	MemoryMiB int `json:"mib"`
	// ReservedMiB counts residents and every order that may still take effect.
	ReservedMiB int `json:"used"`
}

// FreeMiB returns the memory that a new order may use.
func (a Accelerator) FreeMiB() int { return a.MemoryMiB - a.ReservedMiB }

// A Demand is a row's demand, as seen by one backend server or one cell.
type Demand struct {
	Name string `json:"name"`
	// Level is the demand in steps of a factor, so that small changes are not sent;
	// see placement.LevelOf. Level 0 is none.
	Level int `json:"lvl"`
	// Version is the cell's version that last changed a cell's demand.
	Version uint64 `json:"v,omitempty"`
}

// A Server is the record of one backend server.
type Server struct {
	ID           string        `json:"id"`
	Addr         string        `json:"addr"`
	Hall         string        `json:"hall"`
	Incarnation  string        `json:"inc"`
	Services     []string      `json:"services,omitempty"`
	Slots        int           `json:"slots,omitempty"`
	Accelerators []Accelerator `json:"accs,omitempty"`
	Residents    []Resident    `json:"res,omitempty"`
	// Demand is reported by a server's agent to its planner only; a cell's demand
	// travels by itself, since it changes far more often than what is resident.
	Demand  []Demand `json:"dem,omitempty"`
	Leaving bool     `json:"leaving,omitempty"`
	// Gone says that the server's VM has left the platform's list.
	Gone bool `json:"gone,omitempty"`
	// Version is the cell's version that last changed the record.
	Version uint64 `json:"v"`
}

// Same reports whether two records differ in nothing but their versions.
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

// A CellVersion is the version of a cell that a process knows.
type CellVersion struct {
	Cell    string `json:"c"`
	Epoch   int64  `json:"e"`
	Version uint64 `json:"v"`
}

// A Digest lists the versions of all cells that a process knows.
type Digest []CellVersion

// MarshalJSON writes each version as [cell, epoch, version], which is short: a
// digest goes with every request for news.
func (d Digest) MarshalJSON() ([]byte, error) {
	short := make([][]any, len(d))
	for i, v := range d {
		short[i] = []any{v.Cell, v.Epoch, v.Version}
	}
	return json.Marshal(short)
}

// UnmarshalJSON reads what MarshalJSON writes.
func (d *Digest) UnmarshalJSON(data []byte) error {
	var short []json.RawMessage
	if err := json.Unmarshal(data, &short); err != nil {
		return err
	}
	*d = make(Digest, len(short))
	for i, x := range short {
		v := &(*d)[i]
		if err := json.Unmarshal(x, &[]any{&v.Cell, &v.Epoch, &v.Version}); err != nil {
			return err
		}
	}
	return nil
}

// A CellDelta carries the records of a cell that changed after a version.
type CellDelta struct {
	CellVersion
	// Full says that records not in Servers no longer belong to the cell.
	Full    bool     `json:"full,omitempty"`
	Servers []Server `json:"servers,omitempty"`
	Demand  []Demand `json:"demand,omitempty"`
}

// A cell holds one cell's records.
type cell struct {
	epoch   int64
	version uint64
	servers map[string]Server
	demand  map[string]Demand
}

// A View is a process's copy of all cells' records; it is safe for concurrent use.
//
// Its zero value is an empty view.
type View struct {
	mu     sync.RWMutex
	cells  map[string]*cell
	byName map[string][]Server
}

// Digest returns how much of each cell the view knows, in the order of cells.
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

// Since returns what a process with the given digest lacks of the view.
func (v *View) Since(digest Digest) []CellDelta {
	known := make(map[string]CellVersion, len(digest))
	for _, d := range digest {
		known[d.Cell] = d
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	var deltas []CellDelta
	for id, c := range v.cells {
		k := known[id]
		if k.Epoch > c.epoch || k.Epoch == c.epoch && k.Version >= c.version {
			continue
		}
		full := k.Epoch != c.epoch
		d := CellDelta{CellVersion: CellVersion{Cell: id, Epoch: c.epoch, Version: c.version}, Full: full}
		for _, s := range c.servers {
			if full || s.Version > k.Version {
				d.Servers = append(d.Servers, s)
			}
		}
		for _, x := range c.demand {
			if full || x.Version > k.Version {
				d.Demand = append(d.Demand, x)
			}
		}
		deltas = append(deltas, d)
	}
	return deltas
}

// Merge applies the deltas that are newer than the view and reports whether any was.
func (v *View) Merge(deltas []CellDelta) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := false
	for _, d := range deltas {
		changed = v.mergeCell(d) || changed
	}
	if changed {
		v.index()
	}
	return changed
}

// mergeCell applies one delta and reports whether it was newer; the View is locked.
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
	for _, x := range d.Demand {
		next.demand[x.Name] = x
	}
	for _, s := range d.Servers {
		next.servers[s.ID] = s
	}
	v.cells[d.Cell] = next
	return true
}

// index rebuilds the servers by the names that they serve.
func (v *View) index() {
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

// indexServer adds a server under each name that it serves.
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

// Serving returns the servers, leaving ones included, that are ready for a name.
func (v *View) Serving(name string) []Server {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.byName[name]
}

// Servers returns all servers that are not gone, in the order of their ids.
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

// Demand returns the demand of one cell.
func (v *View) Demand(id string) []Demand {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, ok := v.cells[id]
	if !ok {
		return nil
	}
	return slices.Collect(maps.Values(c.demand))
}

// Cell returns the records of one cell, gone ones included, and its version.
func (v *View) Cell(id string) ([]Server, CellVersion) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	c, ok := v.cells[id]
	if !ok {
		return nil, CellVersion{Cell: id}
	}
	return slices.Collect(maps.Values(c.servers)), CellVersion{Cell: id, Epoch: c.epoch, Version: c.version}
}
