package residency

import (
	"rockcleat/backend"
	"rockcleat/table"
)

// FitsModel reports whether an engine with the given residents has the memory for a further model. A model that is not
// configured never fits, since its size is unknown.
func FitsModel(spec *table.EngineSpec, residents []backend.Resident, model string) bool {
	m, ok := spec.Model(model)
	return ok && m.WeightsMB <= FreeMB(spec, residents)
}

// FitsAdapter reports whether an engine with the given residents has a slot and the memory for a further adapter of a model.
// Adapters that are being loaded or unloaded count as held.
func FitsAdapter(spec *table.EngineSpec, residents []backend.Resident, model string) bool {
	return roomOf(spec, residents).fits(spec, model)
}

// A room is what an engine has left for adapters.
type room struct {
	slots int
	mb    float64
}

// roomOf returns what residents leave free.
func roomOf(spec *table.EngineSpec, residents []backend.Resident) room {
	return room{slots: spec.AdapterSlots - AdapterCount(residents), mb: FreeMB(spec, residents)}
}

// take removes what an adapter of a model takes, and release adds it.
func (r *room) take(spec *table.EngineSpec, model string) { r.add(spec, model, -1) }

func (r *room) release(spec *table.EngineSpec, model string) { r.add(spec, model, 1) }

func (r *room) add(spec *table.EngineSpec, model string, adapters int) {
	m, _ := spec.Model(model)
	r.slots += adapters
	r.mb += float64(adapters) * m.AdapterMB
}

// fits reports whether an adapter of a model fits. One of a model that is not configured never does, since its size is unknown.
func (r room) fits(spec *table.EngineSpec, model string) bool {
	m, ok := spec.Model(model)
	return ok && r.slots > 0 && m.AdapterMB <= r.mb
}

// AdapterCount returns the number of adapters that an engine with the given residents holds.
func AdapterCount(residents []backend.Resident) int {
	n := 0
	for _, r := range residents {
		n += len(r.Adapters)
	}
	return n
}

// FreeMB returns the memory of an engine that its residents leave free, in MB.
func FreeMB(spec *table.EngineSpec, residents []backend.Resident) float64 {
	free := spec.WeightsMB
	for _, r := range residents {
		free -= residentMB(spec, r)
	}
	return free
}

// residentMB returns the memory of a model and its adapters, in MB. A model that is not configured counts as a whole engine,
// since its size is unknown: nothing fits beside it until it is unloaded.
func residentMB(spec *table.EngineSpec, r backend.Resident) float64 {
	m, ok := spec.Model(r.Model)
	if !ok {
		return spec.WeightsMB
	}
	return m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
}
