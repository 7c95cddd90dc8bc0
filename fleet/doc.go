// Package fleet holds what a process knows of the backend servers: which there
// are, what is resident on them and which are leaving.
//
// The servers are divided into cells. One planner at a time holds a cell's
// lease and is the only source of the cell's records; its lease token is the
// cell's epoch. Every process merges the cells' deltas it is given, from
// whomever, and takes a record only if its epoch and version are newer, as in
// Scuttlebutt reconciliation (van Renesse et al., LADIS 2008).
package fleet
