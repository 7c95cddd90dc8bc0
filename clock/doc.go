// Package clock provides the time and timers that the rest of the program uses.
//
// A component takes a Service in its options and uses it for everything that depends on time: the
// time of day, periodic calls, delayed calls, and waits that a context can end. System is the
// Service of programs. It runs on the machine's clocks and, unlike the kernel's monotonic clock,
// counts the time during which the machine is suspended. Package clocktest has a Service whose time
// a test advances, and a Source with simulated suspensions.
//
// The package owns the timers that it creates. A machine without a boot clock counts no suspension.
package clock
