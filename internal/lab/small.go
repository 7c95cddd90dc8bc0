package lab

import (
	"time"

	"rockcleat/placement"
	"rockcleat/table"
)

// Names of table rows of the small system, and the path of its service.
const (
	SmallModel   = "clue-draft"
	SmallAdapter = "clue-draft/sapporo"
	SmallService = "renewals"
	SmallPath    = "/renewals"
)

// Small returns the options of a system of two entries, three engines and one plain service.
// bin is the folder of the programs, dir the one for settings and logs.
func Small(bin, dir string) Options {
	rows, sizes := smallRows()
	return Options{
		Bin: bin, Dir: dir, Halls: []string{"sapporo-a", "sapporo-b", "sapporo-c"},
		Entries: 2, Engines: 3, Services: 1,
		Engine: EngineSpec{
			Accelerators: 2, MemoryMiB: 40000, Slots: 8, Step: 10 * time.Millisecond, Prefill: 20000,
		},
		ServiceRows: []string{SmallService},
		Rows:        rows, Sizes: sizes,
		VMLag: 500 * time.Millisecond, KVReads: 2000, KVWrites: 100,
		Loads: 20, FullSpeed: 10, LoadSpeed: 100000, ServiceDelay: 5 * time.Millisecond,
	}
}

// smallRows returns the table rows and the sizes of the models and adapters.
func smallRows() ([]table.Row, map[string]placement.Size) {
	sizes := make(map[string]placement.Size)
	row := func(name string, kind table.Kind, tier table.Tier, mib int) table.Row {
		r := table.NewRow(name)
		r.Kind, r.Tier, r.Organisation = kind, tier, "guild"
		if kind != table.KindService {
			sizes[name] = placement.Size{WeightMiB: mib, CacheMiB: mib / 4}
		}
		return r
	}
	adapter := row(SmallAdapter, table.KindAdapter, table.TierStandard, 400)
	adapter.Base = SmallModel
	service := row(SmallService, table.KindService, table.TierPremium, 0)
	service.Path = SmallPath
	rows := []table.Row{
		row(SmallModel, table.KindModel, table.TierPremium, 12000),
		row("hint", table.KindModel, table.TierStandard, 8000),
		row("summary", table.KindModel, table.TierEconomy, 16000),
		row("headline", table.KindModel, table.TierStandard, 6000),
		adapter,
		service,
	}
	return rows, sizes
}
