// Package crowd sends what misbehaving clients send, and measures what a process uses meanwhile.
//
// A Behaviour is what one client sends on a connection: a beginning, and a piece that is repeated up to a bound. A Crowd is
// a number of clients with the same behaviour. Their connections, bytes and time are bounded, and they connect to addresses
// of the test only. A Meter reads the memory and the file descriptors of a process from the kernel.
//
// The package relies on /proc as Linux has it. It checks nothing itself.
package crowd
