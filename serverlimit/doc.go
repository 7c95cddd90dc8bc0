// Package serverlimit tracks the rate limits that backend servers announce. An overloaded server states in its
// responses how many requests per second it accepts from all processes together, for as long as the limit applies.
//
// A Table holds the latest known limit of each server instance. It learns limits from the responses that its own
// process receives (Observe) and from other processes (Merge), since a response reaches only one process but its
// limit applies to all of them. Each update of a limit has a sequence number one above that of the update it
// replaces, so records can be merged in any order and repeatedly, and delayed and duplicate messages are harmless.
// Processes exchange ages instead of times because their clocks differ.
//
// Responses may arrive out of order. A response that removes or raises a limit is accepted only if its request was
// sent after the latest update was received, and a response that restores a removed limit only if its request was
// sent after the removal was known; otherwise the response may be older than the update. A lower limit is accepted
// immediately.
//
// The package owns the limits and the order of their updates. The caller passes every response of a server to
// Observe, transports the messages between processes (package exchange) and calls Expire regularly. Package quota
// divides a limit among the processes. A Table is kept in memory only; after a restart it is filled again from
// responses and peers. Rates are in requests per second.
package serverlimit
