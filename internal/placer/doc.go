// Package placer decides which models and adapters the engines hold. Every gateway runs a Placer; only the
// gateway that holds the lease, the leader, acts.
//
// The leader collects the reports of all gateways, plans with package residency, issues one order at a time
// to each engine under the fencing token of its lease, and publishes what the engines hold.
//
// The leader owns the view of each engine (engineState), the totals of the gateways' demand and loads, the
// limiter of loads from the weight store, and the published residency with its versions. This state is kept
// in memory. The next leader rebuilds it from the reports of engines and gateways.
//
// The package relies on package lease for the token and on the gateway for the registry of servers and the
// routing configuration. It relies on engines to reject orders with an older token or an unexpected sequence
// number.
//
// A leader that cannot reach the store stops issuing orders before its lease expires; engines then keep what
// they hold. An engine that does not answer gets no order until it has reported again.
//
// A sequence number counts the orders that an engine has accepted. A version of the residency consists of the
// leader's token and a count of changes. Memory is in megabytes, demand in tokens per second.
package placer
