// Package placement decides which models and adapters sit on which accelerators.
//
// Plan is a pure function from what a cell's planner knows to the orders that
// it should give next: first what has no copy, then copies for demand, and room
// for either by dropping copies that demand no longer justifies. The last copy
// of a name is never dropped. Copies are added as demand rises at once and kept
// for a while after it has fallen, so that nothing moves back and forth.
package placement
