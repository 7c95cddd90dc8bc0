// Package residency decides which engine holds which models and adapters.
//
// Plan is a pure function from what is held and asked for to the next moves; it
// keeps one copy of every model, gives the rest of the memory to models in
// proportion to what is asked of them, and never plans more than an engine holds.
package residency
