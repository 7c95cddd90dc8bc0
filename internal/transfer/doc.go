// Package transfer bounds the time of a call by its progress.
//
// A bound on a whole call is a bound on its size as well: whatever does not fit through the
// link in that time is given up, begun anew from the first byte, and never arrives. Here a
// call ends when nothing has arrived for a time, however much there is to come.
//
// It owns nothing but the timer of each call, which Watch.Stop releases. It relies on readers
// that return what has arrived without waiting for more, as those of net/http do. A call that
// it ends fails with context.DeadlineExceeded. Times are time.Duration.
package transfer
