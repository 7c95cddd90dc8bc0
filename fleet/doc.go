// Package fleet holds a process's view of the backend servers behind agents: which there are,
// what is resident on them and which are leaving.
//
// The servers are divided into cells. One planner at a time holds a cell's lease and is the
// only source of the cell's records; its lease token is the cell's epoch. Every process merges
// the deltas of cells that it receives, from whatever process, and applies a record only if
// its epoch and version are newer, as in Scuttlebutt reconciliation (van Renesse et al.,
// LADIS 2008).
//
// A View owns one process's copy; it relies on planners for records and on the callers to
// exchange digests and deltas. Without news it keeps what it has, whose age it does not know.
// Memory is in MiB, demand in levels (placement.LevelOf). On the users' platform package
// backend keeps the servers instead.
package fleet
