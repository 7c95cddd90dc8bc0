// Package backend keeps what a process knows of the backend servers that it speaks to
// directly: where they are, what engines hold and whether they are leaving. It also
// declares the orders and reports of engines (EngineClient).
//
// A Registry owns that knowledge. It is filled from two sources: the platform's list, and,
// for what engines hold, the leader, which knows it first; it relies on the caller to pass
// both on with the time. Without the leader the list counts again after residencyMaxAge;
// without the list the last one stands. Readers take immutable Snapshots.
package backend
