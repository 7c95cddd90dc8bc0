package gateway

import "sync/atomic"

// bufferMemory bounds the memory that the bodies of requests and the buffered parts of responses take at any time, over
// all callers: a caller may send or read slowly, and each of them holds a buffer meanwhile.
type bufferMemory struct {
	// limit is in bytes; 0 for no limit.
	limit int64
	used  atomic.Int64
}

// bufferShare is the part of the VM's memory that buffers may take. The rest is for connections, the tables of servers
// and gateways, and what the garbage collector has not freed yet.
const bufferShare = 0.25

// newBufferMemory returns the memory for buffers of a VM with the given memory in MB; 0 for no limit.
func newBufferMemory(vmMB float64) *bufferMemory {
	return &bufferMemory{limit: int64(bufferShare * vmMB * 1e6)}
}

// reserve returns an empty reservation.
func (m *bufferMemory) reserve() *bufferReservation { return &bufferReservation{memory: m} }

// A bufferReservation is the part of a bufferMemory that one request uses. It is not safe for concurrent use.
type bufferReservation struct {
	memory *bufferMemory
	held   int64
}

// grow adds n bytes to the reservation. It reports false, and adds nothing, if there is no memory left for them.
func (r *bufferReservation) grow(n int64) bool {
	if used := r.memory.used.Add(n); r.memory.limit > 0 && used > r.memory.limit {
		r.memory.used.Add(-n)
		return false
	}
	r.held += n
	return true
}

// shrink takes n bytes off the reservation.
func (r *bufferReservation) shrink(n int64) {
	r.memory.used.Add(-n)
	r.held -= n
}

// release returns the reservation to the memory.
func (r *bufferReservation) release() {
	r.memory.used.Add(-r.held)
	r.held = 0
}
