// Package planner is the role that an entry plays for the cells of backend servers that it
// holds: it exchanges messages with their agents, publishes their records and issues the orders
// that package placement decides on.
//
// The cells themselves stand in the platform's key-value service, under the key cells. Any
// entry may change them by compare-and-swap; the entries that rendezvous hashing ranks first
// do, and those ranked first for a cell contend for its lease, cell/ID.
//
// A Planner owns the division into cells as last read, the sizes of the weight store's
// catalogue and one cellPlanner for each cell whose lease it holds. A cellPlanner owns the
// accounts of its agents, the orders whose effect has not been seen and the grants of rows'
// concurrency; nothing of it outlives the lease, since agents report all of it anew. It relies
// on the lease's token, which agents compare, and on Members for the list of VMs. While the
// service is away a cell whose lease has lapsed gets no orders and no grants, but the table and
// the records go on travelling.
package planner
