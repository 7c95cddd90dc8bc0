package quarantine

import "time"

// A ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	// Began means that a quarantine has begun.
	Began ChangeKind = "began"
	// Cleared means that a quarantine has ended because the trait was cleared; see Table.Clear.
	Cleared ChangeKind = "voided"
	// Expired means that a quarantine has ended because its time has passed or its record was evicted from a full
	// Table.
	Expired ChangeKind = "over"
)

// A Change is the beginning or the end of a quarantine.
type Change struct {
	Trait Trait
	Kind  ChangeKind
	// Servers are the IDs of the server instances that have crashed with the trait. It is set for Began only.
	Servers []string
	// Until is the time at which the quarantine ends. It is set for Began only.
	Until time.Time
}
