package backend

// A Restart is a server of which the platform lists another run than before.
type Restart struct {
	// Former is the run that is over, Now the one that is listed.
	Former, Now Server
}

// formerRuns holds the runs that are known to be over. Runs have no order that could be trusted: a
// server that restarts while its clock is set back has an earlier start than before. So a run that
// has been followed by another one never counts again, whoever still names it: a list that was read
// before, a late report or another gateway.
//
// Its zero value is empty.
type formerRuns struct {
	byName map[string]map[string]bool
}

// isOver reports whether the run that a record names is over.
func (f *formerRuns) isOver(s Server) bool { return f.byName[s.Name()][s.ID] }

// end notes that a run is over since another one is listed.
func (f *formerRuns) end(former, now Server) Restart {
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

// withoutUnstarted leaves out the servers that do not name their start, if most servers do: such a
// record was not written by a server. Where most do not, the platform does not tell it. It returns
// the names of those that it leaves out.
func withoutUnstarted(list []Server) (started []Server, unstarted []string) {
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
			unstarted = append(unstarted, s.Name())
			continue
		}
		started = append(started, s)
	}
	return started, unstarted
}
