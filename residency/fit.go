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

// FitsAdapter reports whether an engine with the given residents can hold a further adapter. Adapters that are being loaded
// or unloaded count as held.
func FitsAdapter(spec *table.EngineSpec, residents []backend.Resident) bool {
	return AdapterCount(residents) < spec.AdapterSlots
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

// residentMB returns the memory of a model and its adapters, in MB; 0 for a model that is not configured,
// since its size is unknown.
func residentMB(spec *table.EngineSpec, r backend.Resident) float64 {
	m, ok := spec.Model(r.Model)
	if !ok {
		return 0
	}
	return m.WeightsMB + float64(len(r.Adapters))*m.AdapterMB
}
