package proofs

import (
	"errors"
	"maps"
	"net/http"
	"slices"
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
		var v wire.VersionResponse
		if err := lab.NewControlClient().Get(tr.ctx, n.Control, wire.PathStatus, &v); err != nil || now != n.Process {
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

// An editRecord collects the edits that stand in the record, by version: the oldest are cut from time to time.
type editRecord struct{ byVersion map[uint64]table.Edit }

// read adds what stands in the record now. A version never gets another edit.
func (r *editRecord) read(tr *trial) {
	var h wire.HistoryResponse
	tr.must(lab.NewControlClient().Get(tr.ctx, tr.liveEntry(0).Control, wire.PathHistory, &h))
	if r.byVersion == nil {
		r.byVersion = make(map[uint64]table.Edit)
	}
	for _, e := range h.Edits {
		if before, ok := r.byVersion[e.Version]; ok && before.ID != e.ID {
			tr.violation("version %d was edit %s and is %s", e.Version, before.ID, e.ID)
		}
		r.byVersion[e.Version] = e
	}
}

// checkHistory checks the record of edits: versions follow each other, each
// edit that was reported as saved stands in it once under the version reported
// or an earlier one, and no row changes under an edit that had not seen its last change.
//
// An edit that is saved again after an answer was lost is reported with the newest version, so that nothing says
// whether it is older than what was cut. The record is therefore read before any of it can be cut.
func (tr *trial) checkHistory(record *editRecord, accepted map[string]uint64) {
	record.read(tr)
	seen := make(map[string]uint64)
	lastOf := make(map[string]uint64)
	last := uint64(0)
	for _, version := range slices.Sorted(maps.Keys(record.byVersion)) {
		if last > 0 && version != last+1 {
			tr.violation("version %d follows %d", version, last)
		}
		last = version
		e := record.byVersion[version]
		if _, twice := seen[e.ID]; twice {
			tr.violation("edit %s stands twice in the record", e.ID)
		}
		seen[e.ID] = version
		for _, c := range e.Changes {
			checkSeen(tr, c, version, lastOf)
		}
	}
	for id, v := range accepted {
		at, ok := seen[id]
		switch {
		case !ok:
			tr.violation("edit %s was reported as saved and is not in the record", id)
		case at > v:
			tr.violation("edit %s was reported as version %d and is %d", id, v, at)
		}
	}
}

func checkSeen(tr *trial, c table.Change, version uint64, lastOf map[string]uint64) {
	if last, ok := lastOf[c.Name]; ok && c.ExpectedVersion != last {
		tr.violation("version %d changed row %s without having seen version %d", version, c.Name, last)
	}
	lastOf[c.Name] = version
}
