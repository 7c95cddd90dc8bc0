// Package fairqueue schedules the requests of one backend server: it decides which waiting request
// runs next and which is refused.
//
// Rows of the operators' table share the server in proportion to their weights, measured in tokens,
// as in the Virtual Token Counter scheduler (Sheng et al., "Fairness in Serving Large Language
// Models", OSDI 2024). Each row has a counter of the tokens served divided by its weight, and the
// row with the lowest counter runs next. A row's concurrency limit and queue time apply in
// addition. A request whose estimated wait exceeds its queue time is refused on arrival.
//
// A Queue holds the waiting and running requests of one server and the counters of the rows.
// Callers must serialize access to it and call Step as time passes; a Slots implementation provides
// the server's capacity. The package does no I/O and reads no clock: each call takes the current
// time.
package fairqueue
