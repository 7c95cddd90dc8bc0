// Package placement decides which models and adapters sit on which accelerators behind agents.
//
// Plan is a pure function, but for the memory of hysteresis, from what a cell's planner knows
// to the orders that it should issue next: first what has no copy, then copies for demand, and
// room for either by evicting copies that demand no longer justifies. The last copy of a name
// is never evicted. Copies are added as soon as demand rises and kept for a while after it has
// fallen, so that nothing moves back and forth.
//
// A Planner owns only that memory: since when each name has had more copies than wanted. It
// relies on the caller for the records of all cells and issues no order itself. Cells agree
// without messages, by rendezvous hashing over the same records. On the users' platform, where
// one leader orders all engines and rows have no tiers, package residency decides instead.
//
// Memory is in MiB, demand in busy slots.
package placement
