// Package retry bounds how many requests a process sends again.
//
// A Budget gives back a fraction of a token for each first try and takes a
// whole one for each retry, so that in an outage the retries stay a bounded
// part of the traffic (Dean and Barroso, "The Tail at Scale", CACM 2013).
package retry
