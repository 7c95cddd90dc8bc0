// Package retry bounds how many requests a process sends again.
//
// A Budget gives back a fraction of a token for each first try and takes a whole one for
// each retry, so that in an outage the retries stay a bounded part of the traffic (Dean
// and Barroso, "The Tail at Scale", CACM 2013); package entry uses it. A Window bounds the
// retries in any span of a length, as the users' platform asks of all its gateways
// together; package gateway uses it.
//
// Both own their counts, live in one process and decide nothing but whether a retry may be
// sent; a count is lost with its process. Ratios have no unit.
package retry
