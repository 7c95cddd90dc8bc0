package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the service no longer has all changes after the revision of a watch. The
// caller must list the prefix again.
var ErrCompacted = errors.New("kv: history compacted")

// An Event is one change of a key.
type Event struct {
	Entry Entry
	// Deleted is set if the key was deleted; the entry's value is then empty.
	Deleted bool
	// Rewritten is set for the first write of an entry that was outdated when the service was restored from a backup. A
	// Fanout forwards it even if its digest has not changed.
	Rewritten bool `json:",omitempty"`
}

// A PrefixStore lists and watches all keys under a prefix.
type PrefixStore interface {
	// ListPrefix returns the entries under a prefix and a revision to watch from: WatchPrefix
	// returns every change after it.
	ListPrefix(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// WatchPrefix waits for changes after a revision, for at most wait, and returns them with the
	// revision to continue from. It returns ErrCompacted if the service no longer has those
	// changes.
	WatchPrefix(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error)
}
