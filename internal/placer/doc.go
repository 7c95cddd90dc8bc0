// Package placer is the leader's role of a gateway: whichever gateway holds the lease
// "placer" collects what all gateways report, plans with package residency, issues the
// orders to engines one at a time under the lease's fencing token, and publishes what the
// engines hold.
//
// The leader owns, for as long as it holds the lease: what it knows of each engine
// (engineState), the sums of the gateways' demand and loads, the rate of loads from the
// weight store, and the published residency with its versions. All of it is in memory, is
// forgotten with the lease, and is read anew from engines' reports by the next leader.
// It relies on package lease for the token, on the registry of servers and the routing of
// its own gateway, and on engines that refuse orders of older tokens and unexpected
// sequence numbers.
//
// Without the store a leader stops before its lease runs out; engines then keep what they
// hold. An engine that does not answer is asked again and gets no order meanwhile.
// Sequence numbers count the orders that an engine has taken; a version of the residency
// is the leader's token and a count of changes.
package placer
