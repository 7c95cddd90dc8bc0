// Package admitqueue orders the requests that wait for capacity of one backend server, over all gateways.
//
// The gateway that owns a server keeps one Queue of the requests of all gateways that wait for it. Shares
// divides the capacity of a service among the organisations whose requests wait, in proportion to their
// weights. Returns keeps the place of callers that were refused and come back when they were asked to. An
// Estimator estimates how long a request will wait.
//
// The package decides the order only: the owner decides whether a server has capacity. It does no I/O, gets
// the time as an argument, and is not safe for concurrent use. Package dispatch uses it.
package admitqueue
