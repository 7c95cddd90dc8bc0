// Package fairqueue decides which waiting request of a backend server runs next, and which is
// refused instead.
//
// Rows are served in proportion to their weights, counted in tokens, as by the Virtual Token
// Counter (Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024): each row has
// a counter of tokens served divided by its weight, and the row with the lowest counter goes
// first. Each row's limits on share, concurrency and queue time hold on top of that. A request
// that cannot run within its queue time is refused when it arrives, not when it is late.
//
// A Queue owns the waiting and running requests of one server and the rows' counters. It
// relies on its caller to lock it, to call Step when time passes, and on Slots for what the
// server can run. It sends nothing and knows no clock: times come with each call.
package fairqueue
