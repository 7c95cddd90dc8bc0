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

// watchVersions polls the table version of every daemon until stop is called. A version lower
// than an earlier one of the same process is a violation.
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
		current := n.Process
		var v wire.VersionResponse
		if err := lab.NewControlClient().Get(tr.ctx, n.Control, wire.PathStatus, &v); err != nil || current != n.Process {
			continue
		}
		if current != process {
			process, last = current, 0
		}
		if v.TableVersion < last {
			tr.recordViolation("%s went back from version %d to %d", n.ID, last, v.TableVersion)
		}
		last = v.TableVersion
	}
}

// An editHistory accumulates the edits of the table history by version. The daemons remove the
// oldest edits from the history.
type editHistory struct{ byVersion map[uint64]table.Edit }

// read adds the edits of the current history. A version whose edit has changed is a violation.
func (r *editHistory) read(tr *trial) {
	var h wire.HistoryResponse
	tr.must(lab.NewControlClient().Get(tr.ctx, tr.runningEntry(0).Control, wire.PathHistory, &h))
	if r.byVersion == nil {
		r.byVersion = make(map[uint64]table.Edit)
	}
	for _, e := range h.Edits {
		if before, ok := r.byVersion[e.Version]; ok && before.ID != e.ID {
			tr.recordViolation("version %d was edit %s and is %s", e.Version, before.ID, e.ID)
		}
		r.byVersion[e.Version] = e
	}
}

// checkHistory checks that the versions in the history are consecutive, that it contains each
// edit reported as saved exactly once, under the reported version or an earlier one, and that no
// edit changed a row without having seen the row's previous change.
//
// A retry of an edit whose response was lost reports the newest version instead of the edit's
// own. The reported version therefore does not show whether the edit has already been removed
// from the history, and callers must read the history before its oldest edits are removed.
func (tr *trial) checkHistory(history *editHistory, accepted map[string]uint64) {
	history.read(tr)
	versionOf := make(map[string]uint64)
	lastChange := make(map[string]uint64)
	last := uint64(0)
	for _, version := range slices.Sorted(maps.Keys(history.byVersion)) {
		if last > 0 && version != last+1 {
			tr.recordViolation("version %d follows %d", version, last)
		}
		last = version
		e := history.byVersion[version]
		if _, twice := versionOf[e.ID]; twice {
			tr.recordViolation("edit %s stands twice in the record", e.ID)
		}
		versionOf[e.ID] = version
		for _, c := range e.Changes {
			checkChangeSeen(tr, c, version, lastChange)
		}
	}
	for id, v := range accepted {
		actual, ok := versionOf[id]
		switch {
		case !ok:
			tr.recordViolation("edit %s was reported as saved and is not in the record", id)
		case actual > v:
			tr.recordViolation("edit %s was reported as version %d and is %d", id, v, actual)
		}
	}
}

func checkChangeSeen(tr *trial, c table.Change, version uint64, lastChange map[string]uint64) {
	if last, ok := lastChange[c.Name]; ok && c.ExpectedVersion != last {
		tr.recordViolation("version %d changed row %s without having seen version %d", version, c.Name, last)
	}
	lastChange[c.Name] = version
}
