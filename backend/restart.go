package backend

// A Restart reports that the platform lists another instance of a server than before.
type Restart struct {
	// Previous is the instance that has ended, Current the one that is listed.
	Previous, Current Server
}

// endedInstances holds the server instances that have ended. Instances cannot be ordered by their
// start times, since a server may restart while its clock is set back. An instance that was followed
// by another one is therefore ignored for good, whatever the source: a list read earlier, a late
// report or another gateway.
//
// The zero value is empty.
type endedInstances struct {
	byName map[string]map[string]bool
}

// hasEnded reports whether the server instance in a record has ended.
func (e *endedInstances) hasEnded(s Server) bool { return e.byName[s.Name()][s.ID] }

// end records that the previous server instance has ended.
func (e *endedInstances) end(previous, current Server) Restart {
	if e.byName == nil {
		e.byName = make(map[string]map[string]bool)
	}
	ids := e.byName[previous.Name()]
	if ids == nil {
		ids = make(map[string]bool)
		e.byName[previous.Name()] = ids
	}
	ids[previous.ID] = true
	return Restart{Previous: previous, Current: current}
}

// dropWithoutInstance removes servers without Server.Instance if fewer than half of the servers lack
// it: such a record was not written by a server. Otherwise the platform does not report Instance,
// and all are kept. It returns the names of the servers that it removed.
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
