// Package placement plans which models and adapters are loaded on which accelerators, for backend servers that
// each have an agent.
//
// A Planner computes the next orders for one cell from the records of all cells. Names without a replica come
// first, then additional replicas for demand. To free memory for either, it evicts replicas that demand no longer
// justifies, but never the last ready replica of a name in the table. A replica is added as soon as demand rises.
// After demand has fallen it is kept for Options.Hold, unless a name without a replica needs the memory, so that
// replicas are not loaded and unloaded repeatedly.
//
// The only state that a Planner owns is the time since which each name has had more replicas than its target;
// apart from that, Plan is a pure function. The caller supplies the records of all cells and issues the orders.
// Cells that see the same records divide the replicas among themselves without messages, by rendezvous hashing.
// Where one leader issues the orders to all engines and rows have no tiers, package residency plans instead.
//
// Memory is in MiB, demand in busy slots.
package placement
