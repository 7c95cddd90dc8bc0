package proofs

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"rockcleat/internal/lab"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

func isConflict(err error) bool {
	var s *wire.StatusError
	return errors.As(err, &s) && s.Status == http.StatusConflict
}

// watchVersions asks every daemon for its version all the time; one process may
// never name a lower version than before. It returns a function that ends it.
func (tr *trial) watchVersions() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	nodes := append([]*lab.Node{}, tr.Entries...)
	for _, b := range tr.Backends {
		nodes = append(nodes, b.Agent)
	}
	for _, n := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			tr.watchNode(n, done)
		}()
	}
	return func() {
		close(done)
		wg.Wait()
	}
}

func (tr *trial) watchNode(n *lab.Node, done <-chan struct{}) {
	last, process := uint64(0), n.Process
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		now := n.Process
		var v wire.VersionAnswer
		if err := lab.Client().Get(tr.ctx, n.Control, wire.PathStatus, &v); err != nil || now != n.Process {
			continue
		}
		if now != process {
			process, last = now, 0
		}
		if v.TableVersion < last {
			tr.violation("%s went back from version %d to %d", n.ID, last, v.TableVersion)
		}
		last = v.TableVersion
	}
}

// checkHistory checks the record of edits: versions follow each other, each
// edit that was reported as saved stands in it once under the version reported,
// and no row changes under an edit that had not seen its last change.
func (tr *trial) checkHistory(accepted map[string]uint64) {
	var h wire.HistoryAnswer
	tr.must(lab.Client().Get(tr.ctx, tr.liveEntry(0).Control, wire.PathHistory, &h))
	seen := make(map[string]uint64)
	lastOf := make(map[string]uint64)
	for i, e := range h.Edits {
		if i > 0 && e.Version != h.Edits[i-1].Version+1 {
			tr.violation("version %d follows %d", e.Version, h.Edits[i-1].Version)
		}
		if _, twice := seen[e.ID]; twice {
			tr.violation("edit %s stands twice in the record", e.ID)
		}
		seen[e.ID] = e.Version
		for _, c := range e.Changes {
			checkSeen(tr, c, e.Version, lastOf)
		}
	}
	first := h.Edits[0].Version
	for id, v := range accepted {
		at, ok := seen[id]
		if !ok && v >= first {
			tr.violation("edit %s was reported as saved and is not in the record", id)
		}
		if ok && at > v {
			tr.violation("edit %s was reported as version %d and is %d", id, v, at)
		}
	}
}

func checkSeen(tr *trial, c table.Change, version uint64, lastOf map[string]uint64) {
	if last, ok := lastOf[c.Name]; ok && c.Seen != last {
		tr.violation("version %d changed row %s without having seen version %d", version, c.Name, last)
	}
	lastOf[c.Name] = version
}
