package configsync

import (
	"time"

	"rockcleat/kv"
)

// News describes the configuration that one gateway holds, for other gateways.
type News struct {
	// Version is the version held, 0 if none.
	Version uint64 `json:"version,omitempty"`
	// Revision is a store revision up to which no newer version was written; 0 if unknown.
	Revision kv.Revision `json:"revision,omitempty"`
	// AgeMs is the time since Version was last known to be the newest, in milliseconds.
	AgeMs int64 `json:"age,omitempty"`
}

// unknownAge is the age sent when it is not known whether the version was ever the newest. It exceeds
// any Options.MaxAge.
const unknownAge = 24 * time.Hour

// ageMs returns the time from t to now in milliseconds, at most unknownAge.
func ageMs(now, t time.Time) int64 { return min(now.Sub(t), unknownAge).Milliseconds() }

// A knownVersion describes the newest version that a gateway knows of, whether or not it holds it.
type knownVersion struct {
	version uint64
	// source is the peer address of a gateway that holds the version; empty if it came from the
	// store.
	source string
	// The version contains everything that was written before currentAt, and up to revision of
	// the store.
	currentAt time.Time
	revision  kv.Revision
}

// merge applies information from another gateway or the store and reports whether it names a newer
// version than was known. currentAt and revision advance even with information on an older version,
// because what holds for that one holds for a newer one too.
func (n *knownVersion) merge(other knownVersion) (newer bool) {
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
