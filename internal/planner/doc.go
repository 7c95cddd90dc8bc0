// Package planner plans the cells that an entry holds. A cell is a group of backend servers. Its
// planner exchanges messages with the servers' agents, publishes the servers' records and issues the
// orders to load and unload models that package placement computes.
//
// The list of cells is in the platform's key-value service, under the key "cells". Any entry may
// change it by compare-and-swap; normally the entry ranked first by rendezvous hashing does. The
// entries ranked first for a cell contend for its lease, cell/ID.
//
// A Planner owns the cell list as last read, the sizes from the weight store's catalogue and one
// cellPlanner for each cell whose lease it holds. A cellPlanner owns the state of its agents, the
// orders whose effect is not visible yet and the concurrency grants of rows. This state is not
// stored: a new planner obtains it from the agents' reports.
//
// A Planner relies on the lease's fencing token, which agents compare, and on Members for the list of
// VMs. While the key-value service is unavailable, a cell whose lease has expired gets no orders and
// no grants, but the table and the records are still exchanged.
package planner
