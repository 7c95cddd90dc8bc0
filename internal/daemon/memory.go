package daemon

import "runtime/debug"

// heapShare is the part of a machine's memory up to which the Go runtime may take memory without collecting garbage more
// often. The rest is for the program itself and for what sockets have received.
const heapShare = 0.75

// limitHeap makes the garbage collector keep the process within a machine of the given memory in MB; 0 if it is not known.
func limitHeap(vmMB float64) {
	if vmMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * vmMB * 1e6))
	}
}
