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

// SmallOptions returns the options of a system of two entries, three engines and one plain service.
// bin is the folder of the programs, dir the one for settings and logs.
func SmallOptions(bin, dir string) Options {
	rows, sizes := smallRows()
	return Options{
		Bin: bin, Dir: dir, Halls: []string{"sapporo-a", "sapporo-b", "sapporo-c"},
		Entries: 2, Engines: 3, Services: 1,
		Engine: EngineOptions{
			Accelerators: 2, MemoryMiB: 40000, Slots: 8, Step: 10 * time.Millisecond, PrefillTokensPerSecond: 20000,
		},
		ServiceRows: []string{SmallService},
		Rows:        rows, Sizes: sizes,
		VMLag: 500 * time.Millisecond, KVReadsPerSecond: 2000, KVWritesPerSecond: 100,
		LoadsPerSecond: 20, FullSpeedLoads: 10, LoadMiBPerSecond: 100000, ServiceDelay: 5 * time.Millisecond,
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
