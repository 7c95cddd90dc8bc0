package configsync

import (
	"time"

	"rockcleat/kv"
)

// An Announcement describes the configuration that one gateway holds, for other gateways.
type Announcement struct {
	// Version is the version held, 0 if none. With a Revision, 0 means that the store held no
	// configuration up to that revision.
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

// merge applies what another gateway or the store has reported, and reports whether it names a newer
// version than was known. currentAt and revision advance even if other has an older version, because a
// newer version contains everything that an older one does.
func (k *knownVersion) merge(other knownVersion) (newer bool) {
	if other.currentAt.After(k.currentAt) {
		k.currentAt = other.currentAt
	}
	k.revision = max(k.revision, other.revision)
	newer = other.version > k.version
	if newer || other.version == k.version && other.source != "" {
		k.version, k.source = other.version, other.source
	}
	return newer
}
