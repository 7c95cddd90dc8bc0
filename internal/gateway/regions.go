package gateway

import "slices"

// A regionMap maps each data hall to its region.
type regionMap map[string]string

// allowedHalls returns the data halls that are in one of the regions of each list, or nil if all lists are empty. An
// empty list allows all regions. A hall whose region is not known is allowed only if all lists are empty.
func (m regionMap) allowedHalls(lists ...[]string) map[string]bool {
	lists = slices.DeleteFunc(lists, func(regions []string) bool { return len(regions) == 0 })
	if len(lists) == 0 {
		return nil
	}
	halls := make(map[string]bool)
	for hall, region := range m {
		isAllowed := func(regions []string) bool { return slices.Contains(regions, region) }
		if !slices.ContainsFunc(lists, func(regions []string) bool { return !isAllowed(regions) }) {
			halls[hall] = true
		}
	}
	return halls
}
