// Package overload determines from the delay of a process's own work whether it is short of processor time, and
// which share of new requests it should then refuse.
//
// A Monitor is given periodic ticks: when each was due and when its work ran. The caller lets that work wait
// behind the goroutines that are ready to run, as work from the network does; the Go scheduler starts a timer's
// own goroutine before them, so that it is in time however long the queue is.
//
// A process whose processor time is limited by a quota may get none for up to 100 ms and is not overloaded. Work
// that is due then runs in the next period, unless the queue before it takes more than one period's time.
// Delays up to 100 ms are therefore not counted. A single long delay has other causes than load, such as a
// garbage collection or a suspended machine, so each tick counts with the shorter of its own delay and that of
// the tick before it.
//
// The package does no I/O and gets the times as arguments. The caller sends the ticks, draws the random numbers
// and refuses the requests; it should serve a request if it has no other, since refusals free no processor time
// then. Package internal/gateway uses it.
package overload
