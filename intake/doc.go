// Package intake determines how many new connections a process takes, from how fast it gets rid of the requests
// that it has accepted.
//
// A request is pending from the time at which it needs work of this process until it has been handed on: sent to a
// server, queued for one, or refused. A process that is short of processor time, or whose link is full, hands
// requests on slowly, so that pending requests add up. A request that waits for bytes of its caller, for a free
// server or for its response is not pending.
//
// The package does no I/O and gets the times as arguments. Package internal/gateway reports the requests.
package intake
