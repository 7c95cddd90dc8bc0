// Package backend keeps what a process knows of the backend servers: where they
// are, what they hold and whether they are leaving.
//
// A Registry is filled from the platform's list and, for what engines hold, from
// the holder of orders, whose word is newer. Readers take immutable snapshots.
package backend
