package intake

import (
	"bytes"
	"sync/atomic"
)

// A HeadVerdict says whether more of a request's head may be read.
type HeadVerdict int

const (
	// HeadFits: it may.
	HeadFits HeadVerdict = iota
	// HeadTooLarge: the head is longer than permitted.
	HeadTooLarge
	// HeadsTooMany: the memory for all heads is used up.
	HeadsTooMany
)

const (
	// byteCost and lineCost are what a byte and a line of a head hold, in bytes: the buffer that a line is collected in,
	// a string, and an entry in a map of fields.
	byteCost = 3
	lineCost = 300
	// freeCost is the cost up to which a head is not counted. It covers the heads of most requests, and belongs to what a
	// connection holds anyway.
	freeCost = 8 << 10
	// readAhead is the number of bytes beyond a head that may be read with it, in one read of a buffer.
	readAhead = 4 << 10
)

// HeadMemory bounds what the heads of requests hold together, on all connections of a process. It is safe for concurrent use.
type HeadMemory struct {
	// limit is in bytes; 0 for no limit.
	limit int64
	used  atomic.Int64
}

// NewHeadMemory returns a HeadMemory for the given number of bytes; 0 for any number.
func NewHeadMemory(limit int64) *HeadMemory { return &HeadMemory{limit: limit} }

// Used returns the number of bytes that are counted at present.
func (m *HeadMemory) Used() int64 { return m.used.Load() }

// grow counts n more bytes. It reports false, and counts nothing, if there is no memory left for them.
func (m *HeadMemory) grow(n int64) bool {
	if used := m.used.Add(n); m.limit > 0 && used > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// A Head counts what is read of the head of one request, before it is complete. It is not safe for concurrent use.
type Head struct {
	memory *HeadMemory
	// bytes and cost are what was read so far, and what it holds. held is the part of the cost that is counted in memory.
	bytes, cost, held int64
}

// NewHead returns an empty Head.
func (m *HeadMemory) NewHead() Head { return Head{memory: m} }

// Held returns the number of bytes that are counted for the head.
func (h *Head) Held() int64 { return h.held }

// Add counts bytes of the head, and reports whether the head may go on. The last of them may be followed by bytes of a body. A
// head may have most bytes; 0 for any number.
func (h *Head) Add(p []byte, most int) HeadVerdict {
	if i := bytes.Index(p, []byte("\r\n\r\n")); i >= 0 {
		p = p[:i]
	}
	h.bytes += int64(len(p))
	if most > 0 && h.bytes > int64(most)+readAhead {
		return HeadTooLarge
	}
	h.cost += byteCost*int64(len(p)) + lineCost*int64(bytes.Count(p, []byte("\n")))
	return h.Hold()
}

// Hold counts in the memory what the bytes that were added hold. It is called again after Add has found no memory, once others have
// released some.
func (h *Head) Hold() HeadVerdict {
	more := h.cost - freeCost - h.held
	if more <= 0 {
		return HeadFits
	}
	if !h.memory.grow(more) {
		return HeadsTooMany
	}
	h.held += more
	return HeadFits
}

// Forget ends the count of a head whose connection is being ended: its memory is free soon.
func (h *Head) Forget() {
	h.memory.used.Add(-h.held)
	h.held = 0
}

// Release ends the count: the request has ended, and the next head begins.
func (h *Head) Release() {
	h.Forget()
	h.bytes, h.cost = 0, 0
}
