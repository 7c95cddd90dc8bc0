package bodybuffer

import (
	"errors"
	"io"
	"sync/atomic"
)

// A Memory bounds the memory that the bodies of requests and the buffered parts of responses take at any time, over all
// callers: a caller may send or read slowly, and each of them holds a buffer meanwhile. It is safe for concurrent use.
type Memory struct {
	// limit is in bytes; 0 for no limit.
	limit int64
	used  atomic.Int64
}

// memoryShare is the part of the VM's memory that buffers may take. The rest is for connections, the tables of servers
// and processes, and what the garbage collector has not freed yet.
const memoryShare = 0.25

// NewMemory returns the memory for buffers of a VM with the given memory in MB; 0 for no limit.
func NewMemory(vmMB float64) *Memory { return &Memory{limit: int64(memoryShare * vmMB * 1e6)} }

// Used returns the number of bytes that are reserved at present.
func (m *Memory) Used() int64 { return m.used.Load() }

// Reserve returns an empty reservation.
func (m *Memory) Reserve() *Reservation { return &Reservation{memory: m} }

// A Reservation is the part of a Memory that one request uses. It is not safe for concurrent use.
type Reservation struct {
	memory *Memory
	held   int64
}

// Grow adds n bytes to the reservation. It reports false, and adds nothing, if there is no memory left for them.
func (r *Reservation) Grow(n int64) bool {
	if used := r.memory.used.Add(n); r.memory.limit > 0 && used > r.memory.limit {
		r.memory.used.Add(-n)
		return false
	}
	r.held += n
	return true
}

// Release returns the reservation to the memory.
func (r *Reservation) Release() { r.shrink(r.held) }

// shrink takes n bytes off the reservation.
func (r *Reservation) shrink(n int64) {
	r.memory.used.Add(-n)
	r.held -= n
}

// ErrNoMemory is returned if the memory for buffers is used up.
var ErrNoMemory = errors.New("bodybuffer: no memory for buffers left")

// MaxPreallocated is the largest announced body length for which a buffer of that size is allocated at once, in bytes.
// Longer bodies are charged as they arrive, so that a caller who announces much and sends little holds little.
const MaxPreallocated = 16 << 10

// ReadAll reads until EOF and charges what it allocates to buffers. If size is positive and at most MaxPreallocated, it reads
// exactly size bytes into one buffer.
func ReadAll(r io.Reader, size int64, buffers *Reservation) ([]byte, error) {
	if size > 0 && size <= MaxPreallocated {
		if !buffers.Grow(size) {
			return nil, ErrNoMemory
		}
		buf := make([]byte, size)
		n, err := io.ReadFull(r, buf)
		return buf[:n], err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			var ok bool
			if body, ok = growBody(body, size, buffers); !ok {
				return body, ErrNoMemory
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

const (
	// minBodyBuffer is the size of the first buffer of a longer body, in bytes.
	minBodyBuffer = 4 << 10
	// arrivedFraction is the part of an announced body that must have arrived before a buffer for all of it is allocated.
	arrivedFraction = 1. / 8
)

// growBody returns the body in a larger buffer. If size, the announced length, is positive and enough of it has arrived, the buffer
// holds all of it and a byte in which its end is seen. The old buffer and the new one exist together for a moment, and are
// charged both until then.
func growBody(body []byte, size int64, buffers *Reservation) ([]byte, bool) {
	want := max(2*int64(cap(body)), minBodyBuffer)
	if arrived := int64(len(body)); arrived <= size && float64(arrived) >= arrivedFraction*float64(size) {
		want = size + 1
	}
	if !buffers.Grow(want) {
		return body, false
	}
	larger := make([]byte, len(body), want)
	copy(larger, body)
	buffers.shrink(int64(cap(body)))
	return larger, true
}
