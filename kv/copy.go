package kv

import "time"

// Writers are processes that write their entries under a prefix again and again for as long as they live.
//
// When the service comes back from a copy of itself, the copy has entries of writers that have ended since, lacks
// those of writers that began, and shows older words of others. All that live write again soon.
type Writers interface {
	// IsOlder reports whether an entry is an older word than another one; known is false if they are of two lives
	// of the writer.
	IsOlder(e, than Entry) (older, known bool)
	// WriteTime is within what time each that lives writes again.
	WriteTime() time.Duration
}

// A staleEntry is an entry of a copy that does not count: what was known is newer.
type staleEntry struct {
	// revision is that in the copy: one that is written again has another.
	revision Revision
	// instead is what stands in its place, nil for nothing.
	instead []byte
}

// isSame reports whether an entry of a later copy is the same that did not count before: the service came back from
// one copy twice.
func (s staleEntry) isSame(e Entry) bool {
	return s.instead != nil && s.revision.Count() == e.Revision.Count()
}

// isOlder reports whether an entry of a copy is an older word than what was known before. Words of two lives of a
// writer have no order of their own, but the copy's was written in the same history as the known one: before it, if
// its count is lower. The entry of a server's former life was taken for a restart else, and the one that lives
// for its former life, for good.
func isOlder(e, before Entry, w Writers) bool {
	if older, known := w.IsOlder(e, before); known {
		return older
	}
	return e.Revision.Count() < before.Revision.Count()
}

// joinCopy returns a list of a later era, the service's first one since it came back from a copy, joined with what
// was known before: older words do not undo newer ones, entries that the copy lacks stand until their writers have
// had time to write them again, and those that it has and that were not known, or had gone, count only when they
// are written again.
func (l *changeLog) joinCopy(entries []Entry, at Revision, w Writers, now time.Time) []Entry {
	joined := make([]Entry, 0, len(l.entries))
	listed := make(map[string]bool, len(entries))
	staleBefore := l.stale
	l.stale = make(map[string]staleEntry)
	for _, e := range entries {
		listed[e.Key] = true
		before, known := l.entries[e.Key]
		if !known {
			l.stale[e.Key] = staleEntry{revision: e.Revision}
			continue
		}
		if staleBefore[e.Key].isSame(e) || isOlder(e, before, w) {
			l.stale[e.Key] = staleEntry{revision: e.Revision, instead: before.Value}
		}
		joined = append(joined, e)
	}
	l.missing = make(map[string]time.Time)
	for key, e := range l.entries {
		if listed[key] {
			continue
		}
		l.missing[key] = now.Add(w.WriteTime())
		e.Revision = at
		joined = append(joined, e)
	}
	return joined
}

// replaceStale returns a list with what stands in the place of the entries of a copy that have not been written
// again since.
func (l *changeLog) replaceStale(entries []Entry) []Entry {
	if len(l.stale) == 0 {
		return entries
	}
	list := make([]Entry, 0, len(entries))
	for _, e := range entries {
		stale, ok := l.stale[e.Key]
		isStale := ok && stale.revision == e.Revision
		if isStale && stale.instead == nil {
			continue
		}
		if isStale {
			e.Value = stale.instead
		}
		list = append(list, e)
	}
	return list
}

// untilMissingDue returns how long a watch of at most wait may be so that it ends when entries that a copy lacked
// have had their time; isDue says that this is now: what the service lists counts again.
func (f *Fanout) untilMissingDue(prefix string, wait time.Duration) (left time.Duration, isDue bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.log(prefix)
	now := f.opts.Clock.Now()
	for _, until := range l.missing {
		if !now.Before(until) {
			l.missing = nil
			return 0, true
		}
		wait = min(wait, until.Sub(now))
	}
	return wait, false
}
