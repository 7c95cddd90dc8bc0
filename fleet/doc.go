// Package fleet replicates the records of the backend servers that have agents: which servers
// exist, what is loaded on them and which are leaving.
//
// The servers are divided into cells. One planner at a time holds a cell's lease and is the
// only writer of the cell's records. Its lease token is the cell's epoch. Processes exchange
// deltas of cells. A process applies a delta, whatever process sent it, only if its epoch and
// version are newer, as in Scuttlebutt reconciliation (van Renesse et al., LADIS 2008).
//
// A View is one process's copy of the records. It relies on planners to write the records and
// on its callers to exchange digests and deltas. Without deltas it keeps its records and does
// not know their age. Memory is in MiB, demand in levels (placement.LevelOf). Package backend
// holds the servers of deployments that use package platform.
package fleet
