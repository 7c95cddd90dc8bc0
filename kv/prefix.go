package kv

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the service no longer has the changes that a watch asked for. The caller
// lists the prefix again.
var ErrCompacted = errors.New("kv: history compacted")

// An Event is one change of a key.
type Event struct {
	Entry Entry
	// Deleted reports that the key was deleted; the entry's value is then empty.
	Deleted bool
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
