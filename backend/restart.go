package backend

// A Restart reports that the platform lists another run of a server than before.
type Restart struct {
	// Former is the run that has ended, Now the one that is listed.
	Former, Now Server
}

// endedRuns holds the runs of servers that have ended. Runs cannot be ordered by their start
// times, since a server may restart while its clock is set back. A run that was followed by another
// one is therefore ignored for good, whatever the source: a list read earlier, a late report or
// another gateway.
//
// The zero value is empty.
type endedRuns struct {
	byName map[string]map[string]bool
}

// hasEnded reports whether the run in a record has ended.
func (f *endedRuns) hasEnded(s Server) bool { return f.byName[s.Name()][s.ID] }

// end records that the former run has ended.
func (f *endedRuns) end(former, now Server) Restart {
	if f.byName == nil {
		f.byName = make(map[string]map[string]bool)
	}
	runs := f.byName[former.Name()]
	if runs == nil {
		runs = make(map[string]bool)
		f.byName[former.Name()] = runs
	}
	runs[former.ID] = true
	return Restart{Former: former, Now: now}
}

// dropWithoutInstance removes servers without an Instance if fewer than half of the servers lack
// one: such a record was not written by a server. Otherwise the platform does not report it, and
// all are kept. It returns the names of the servers that it removed.
func dropWithoutInstance(list []Server) (kept []Server, dropped []string) {
	n := 0
	for i := range list {
		if list[i].Instance == "" {
			n++
		}
	}
	if n == 0 || 2*n >= len(list) {
		return list, nil
	}
	for _, s := range list {
		if s.Instance == "" {
			dropped = append(dropped, s.Name())
			continue
		}
		kept = append(kept, s)
	}
	return kept, dropped
}
