// Package clock provides the timer service that the parts of a process subscribe to.
//
// A part takes a Service in its options and uses it for everything that depends on time: the time of
// day, calls at an interval, one call after a delay, and waits that a context can end. A System runs on
// the machine's clocks and counts the time in which the machine is suspended, which the steady clock of
// the kernel does not. Package clocktest has a Service that a test moves by hand, so that no test depends
// on the speed of the machine, and a machine that a test suspends.
//
// The package owns the timers that it made. A machine without a boot clock counts no suspension.
package clock
