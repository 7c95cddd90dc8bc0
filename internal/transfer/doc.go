// Package transfer cancels HTTP calls whose response does not begin in time or stalls.
//
// A short timeout for a whole call also limits the size of its response: on a slow link a large
// response would time out at every attempt. A call is therefore canceled when no data has
// arrived for some time. The total time has a separate, longer limit.
//
// The package owns only the timers of each call, which Watch.Stop releases. It relies on readers
// that return available data without waiting for more, as those of net/http do. A call that it
// cancels fails with context.DeadlineExceeded. Times are time.Duration.
package transfer
