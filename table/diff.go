package table

// Diff returns the changes that add or update the rows of next in a table that contains the
// rows of old. With replace, the changes also remove the rows that next does not contain.
func Diff(old, next []Row, replace bool) []Change {
	byName := make(map[string]Row, len(old))
	for _, r := range old {
		byName[r.Name] = r
	}
	var changes []Change
	inNext := make(map[string]bool, len(next))
	for _, r := range next {
		inNext[r.Name] = true
		previous, ok := byName[r.Name]
		if ok && previous.equalExceptVersion(r) {
			continue
		}
		changes = append(changes, Change{Name: r.Name, Seen: previous.Version, Row: &r})
	}
	if !replace {
		return changes
	}
	for _, r := range old {
		if !inNext[r.Name] {
			changes = append(changes, Change{Name: r.Name, Seen: r.Version})
		}
	}
	return changes
}
