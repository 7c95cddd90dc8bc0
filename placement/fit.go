package placement

import (
	"cmp"
	"fmt"
	"slices"

	"rockcleat/fleet"
	"rockcleat/table"
)

// CheckFit checks by first-fit decreasing bin packing whether one replica of every model with its adapters fits
// on the accelerators. It returns an error for each model that does not fit, with the memory needed and left, and
// for each row without a size, since the weight store does not hold it.
func CheckFit(rows []table.Row, sizes map[string]Size, servers []fleet.Server) []table.CheckError {
	var errs []table.CheckError
	var free []int
	total := 0
	for _, s := range servers {
		for _, a := range s.Accelerators {
			free = append(free, a.MemoryMiB)
			total += a.MemoryMiB
		}
	}
	groups, missing := groupSizes(rows, sizes)
	errs = append(errs, missing...)
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(b.mib, a.mib) })
	used := 0
	for _, g := range groups {
		used += g.mib
		i := slices.IndexFunc(free, func(f int) bool { return f >= g.mib })
		if i >= 0 {
			free[i] -= g.mib
			continue
		}
		errs = append(errs, table.CheckError{
			Row: g.name, Column: "name", Value: g.name,
			Allowed: fmt.Sprintf("what fits: %s and its adapters need %d MiB on one accelerator, the largest room left is %d MiB; "+
				"all rows need %d MiB so far of %d MiB on %d accelerators",
				g.name, g.mib, largest(free), used, total, len(free)),
		})
	}
	return errs
}

// A group is a model with all its adapters, which need the same accelerator.
type group struct {
	name string
	mib  int
}

// groupSizes returns the groups in the order of their names, and an error for each row without a size.
func groupSizes(rows []table.Row, sizes map[string]Size) ([]group, []table.CheckError) {
	var errs []table.CheckError
	mib := make(map[string]int)
	for _, r := range rows {
		if r.Kind == table.KindService {
			continue
		}
		size, ok := sizes[r.Name]
		if !ok {
			errs = append(errs, table.CheckError{Row: r.Name, Column: "name", Value: r.Name,
				Allowed: "a name that the weight store holds"})
			continue
		}
		owner := r.Name
		if r.Kind == table.KindAdapter {
			owner = r.Base
		}
		mib[owner] += size.TotalMiB()
	}
	var groups []group
	for name, m := range mib {
		groups = append(groups, group{name: name, mib: m})
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.name, b.name) })
	return groups, errs
}

// largest returns the largest value, or 0 if there is none.
func largest(free []int) int {
	if len(free) == 0 {
		return 0
	}
	return slices.Max(free)
}
