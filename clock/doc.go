// Package clock provides the timer service that the parts of a process subscribe to.
//
// A part takes a Service in its options and uses it for everything that depends on
// time: the time of day, calls at an interval, one call after a delay, and waits that a
// context can end. Real runs on the machine's clock. Package clocktest has a Service
// that a test moves by hand, so that no test depends on the speed of the machine.
package clock
