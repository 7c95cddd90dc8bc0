// Package intake determines how many new connections a process takes, from how fast it gets rid of the requests
// that it has accepted.
//
// A request is pending from the time at which it needs work of this process until it has been handed on: sent to a
// server, queued for one, or refused. A process that is short of processor time, or whose link is full, hands
// requests on slowly, so that pending requests add up. A request that waits for bytes of its caller, for a free
// server or for its response is not pending.
//
// A Limiter takes a new connection as long as the pending requests are handed on within a fraction of a maximum
// delay, at the rate of the last moments, or at the one that its free processor suffices for if that is higher: an idle
// process has handed on nothing lately. What it does with the others depends on the other processes of the fleet:
//
//   - While most of them have room, the connection is closed with nothing read, so that the caller's next attempt,
//     which meets any process, is the first one that is read.
//   - If most have no room, closing would only make callers connect again and again. Requests are then accepted up to
//     the maximum delay, and beyond it refused with a time to come back.
//   - Beyond a multiple of that, connections are closed in any case.
//
// With no pending request, a connection is always taken unless there are no file descriptors for it: a process that is
// slow for another reason keeps serving.
//
// Beyond how many connections there are, the package bounds what they hold. A Head counts what is read of a request's header, by
// bytes and lines, against a limit on each header and a HeadMemory for all of them. Evict and EvictHeads choose the connections
// that end when connections or header memory run short: those that keep the process waiting for a part of a request.
//
// The package does no I/O and gets the times as arguments. Package internal/gateway reports the requests.
package intake
