// Package planner is the role that an entry plays for the cells of backend
// servers that it holds: it exchanges messages with their agents, publishes
// their records and issues the orders that package placement decides on.
//
// The cells themselves stand in the platform's key-value service. Any entry may
// change them by compare-and-swap; the entries that rendezvous hashing ranks
// first do, and those ranked first for a cell contend for its lease.
package planner
