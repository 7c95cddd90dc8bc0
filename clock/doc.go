// Package clock provides the timer service that the parts of a process subscribe to.
//
// A part registers a function and an interval; the service calls it on every
// tick until the subscription is stopped. Tests drive a clocktest.Clock by hand,
// so no test depends on the speed of the machine.
package clock
