package kv

import (
	"bytes"
	"slices"
	"time"
)

// PeriodicWriters describes processes that rewrite their entries under a prefix periodically for as
// long as they run.
//
// After the service is restored from a backup, it holds entries of writers that have ended since,
// lacks those of writers that started, and has outdated values for others. Every running writer
// writes its entry again within MaxWriteInterval.
type PeriodicWriters interface {
	// IsOlder reports whether e was written before than. If the two belong to different
	// incarnations of the writer, known is false.
	IsOlder(e, than Entry) (older, known bool)
	// MaxWriteInterval returns the time within which every running writer writes its entry again.
	MaxWriteInterval() time.Duration
}

// A staleEntry is an entry of a backup that is ignored because newer data was known before the
// restore.
type staleEntry struct {
	// revision is the entry's revision in the backup. A later write has another revision.
	revision Revision
	// replacement is the value used in its place; nil means that the entry is treated as deleted.
	replacement []byte
	// until is when the entry is no longer ignored; the zero value means when it is written again.
	until time.Time
}

// unknownEntryIntervals is how many times MaxWriteInterval an entry is ignored that was unknown before a restore. It may
// be that of a writer that has ended, which the service then removes, or one of a writer that started after the restore
// and has nothing new to write.
const unknownEntryIntervals = 2

// matches reports whether e, listed after a further restore, is the entry that was ignored before:
// the service was restored twice from the same backup.
func (s staleEntry) matches(e Entry) bool {
	return s.replacement != nil && s.revision.Count() == e.Revision.Count()
}

// isOlder reports whether an entry of a backup is older than the entry known before the restore.
// Entries of different incarnations of a writer are not comparable by the writer, but both were
// written in the same history before the restore, so the lower count is the older one. Without this
// rule, an entry of an ended incarnation would be taken for a restart, and the running incarnation
// would be treated as ended for good.
//
// In the same era, the entries differ only if another process has replaced the value of the backup.
func isOlder(e, before Entry, w PeriodicWriters) bool {
	if e.Revision.Era() == before.Revision.Era() {
		return e.Revision == before.Revision && !bytes.Equal(e.Value, before.Value)
	}
	if older, known := w.IsOlder(e, before); known {
		return older
	}
	return e.Revision.Count() < before.Revision.Count()
}

// recordRestore records that this process learns of a restore of the service if a revision belongs to a later era.
// forwarded tells that it learns of it from another process, which has merged a list of its own.
func (l *changeLog) recordRestore(at Revision, now time.Time, forwarded bool) {
	if l.complete && l.to > 0 && l.to.Era() < at.Era() {
		l.restoredAt, l.unmerged = now, forwarded
	}
}

// mergeRestored compares this process's first list after a restore with the entries known before. A
// known entry is not replaced by an older one. An entry that the backup lacks is kept until its
// writer has had time to write it again. An entry of the backup that was unknown or deleted before
// is ignored until it is written again, or for unknownEntryIntervals.
func (l *changeLog) mergeRestored(entries []Entry, at Revision, w PeriodicWriters) {
	listed := make(map[string]bool, len(entries))
	previousStale := l.stale
	l.stale = make(map[string]staleEntry)
	for _, e := range entries {
		listed[e.Key] = true
		before, known := l.entries[e.Key]
		switch {
		case known && (previousStale[e.Key].matches(e) || isOlder(e, before, w)):
			l.stale[e.Key] = staleEntry{revision: e.Revision, replacement: before.Value}
		case !known && (l.to.Era() < at.Era() || e.Revision <= l.to):
			// An entry above the revision of forwarded data has been written since.
			l.stale[e.Key] = staleEntry{revision: e.Revision, until: l.restoredAt.Add(unknownEntryIntervals * w.MaxWriteInterval())}
		}
	}
	l.missing = make(map[string]time.Time)
	for key := range l.entries {
		if !listed[key] {
			l.missing[key] = l.restoredAt.Add(w.MaxWriteInterval())
		}
	}
	l.unmerged = false
}

// keepMissing returns the list with the missing entries that are still kept.
func (l *changeLog) keepMissing(entries []Entry, at Revision, now time.Time) []Entry {
	if len(l.missing) == 0 {
		return entries
	}
	for _, e := range entries {
		delete(l.missing, e.Key)
	}
	list := slices.Clone(entries)
	for key, until := range l.missing {
		if e, known := l.entries[key]; known && now.Before(until) {
			if e.Revision.Era() < at.Era() {
				e.Revision = at
			}
			list = append(list, e)
		}
	}
	return list
}

// endStale reports whether an entry is a new write of one that was ignored since a restore, which ends that.
func (l *changeLog) endStale(e Entry) bool {
	stale, ok := l.stale[e.Key]
	if !ok || stale.revision == e.Revision {
		return false
	}
	delete(l.stale, e.Key)
	return true
}

// isSuperseded reports whether a list holds a later write of an entry under the same revision: the entry is that of a
// backup, and the process that has made the list ignores it.
func isSuperseded(e, listed Entry, w PeriodicWriters) bool {
	if w == nil || e.Revision != listed.Revision || bytes.Equal(e.Value, listed.Value) {
		return false
	}
	older, known := w.IsOlder(e, listed)
	return older && known
}

// maskStale returns the list with each stale entry that has not been written again replaced by
// the value known before the restore, or removed.
func (l *changeLog) maskStale(entries []Entry) []Entry {
	if len(l.stale) == 0 {
		return entries
	}
	list := make([]Entry, 0, len(entries))
	for _, e := range entries {
		stale, ok := l.stale[e.Key]
		isStale := ok && stale.revision == e.Revision
		if isStale && stale.replacement == nil {
			continue
		}
		if isStale {
			e.Value = stale.replacement
		}
		list = append(list, e)
	}
	return list
}

// limitToRestore shortens the wait of a watch so that the watch ends when a missing entry need no
// longer be kept, or an unknown one no longer be ignored. If that time has passed for one, it stops
// keeping or ignoring it and returns relist: the caller must list the prefix again.
func (f *Fanout) limitToRestore(prefix string, wait time.Duration) (remaining time.Duration, relist bool) {
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
	for key, stale := range l.stale {
		if stale.until.IsZero() {
			continue
		}
		if !now.Before(stale.until) {
			delete(l.stale, key)
			relist = true
			continue
		}
		wait = min(wait, stale.until.Sub(now))
	}
	if relist {
		return 0, true
	}
	return wait, false
}
