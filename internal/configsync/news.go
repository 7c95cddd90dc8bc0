package configsync

import (
	"time"

	"rockcleat/kv"
)

// News is what a gateway tells another of the configuration that it holds.
type News struct {
	// Version is the version that it holds, 0 for none.
	Version uint64 `json:"version,omitempty"`
	// Revision is a revision of the store up to which nothing newer was written; 0 if none is known.
	Revision kv.Revision `json:"revision,omitempty"`
	// AgeMs is how long ago Version surely was the newest, in milliseconds.
	AgeMs int64 `json:"age,omitempty"`
}

// unknownAge is the age of news that is not known to be true of any time: older than any that
// is relied on.
const unknownAge = 24 * time.Hour

// ageMs returns how long ago a time was, in milliseconds.
func ageMs(now, t time.Time) int64 { return min(now.Sub(t), unknownAge).Milliseconds() }

// A newest is the newest version that a gateway knows of, held or not.
type newest struct {
	version uint64
	// source is where another gateway that holds it takes messages; empty if it came from the
	// store.
	source string
	// Everything that was written before currentAt, and up to revision of the store, is
	// contained in the version.
	currentAt time.Time
	revision  kv.Revision
}

// merge takes over what another gateway or the store says and reports whether the version is
// newer than what was known. What is said of an older version holds of a newer one too.
func (n *newest) merge(other newest) (newer bool) {
	if other.currentAt.After(n.currentAt) {
		n.currentAt = other.currentAt
	}
	n.revision = max(n.revision, other.revision)
	newer = other.version > n.version
	if newer || other.version == n.version && other.source != "" {
		n.version, n.source = other.version, other.source
	}
	return newer
}
