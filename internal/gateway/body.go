package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rockcleat/clock"
)

// bodyLimits bound a request's body.
type bodyLimits struct {
	// bytes is the maximum length; 0 for no limit.
	bytes int64
	// buffers is charged with the length.
	buffers *bufferReservation
}

// errNoBuffers is returned if the memory for buffers is used up.
var errNoBuffers = errors.New("gateway: no memory for buffers left")

// readBody reads the complete body.
func (p *proxy) readBody(w http.ResponseWriter, r *http.Request, limits bodyLimits) ([]byte, *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConn: true}
	if limits.bytes > 0 && r.ContentLength > limits.bytes {
		return nil, tooLong
	}
	defer p.conns.awaitBody(r.Context())()
	// Setting the deadline fails only on a closed connection, which the read below reports.
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(clock.SystemDeadline(p.bodyTimeout))
	var src io.Reader = r.Body
	if limits.bytes > 0 {
		src = io.LimitReader(src, limits.bytes+1)
	}
	body, err := readAll(src, r.ContentLength, limits.buffers)
	if errors.Is(err, errNoBuffers) {
		refused := notRun("no memory for the body", minRetryAfter)
		refused.closeConn = true
		return nil, refused
	}
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		return nil, &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly", closeConn: true}
	}
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the body ended early", closeConn: true}
	}
	if limits.bytes > 0 && int64(len(body)) > limits.bytes {
		return nil, tooLong
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// maxPreallocated is the largest announced body length for which a buffer of that size is allocated at once, in bytes.
// Longer bodies are charged as they arrive, so that a caller who announces much and sends little holds little.
const maxPreallocated = 16 << 10

// readAll reads until EOF and charges what it allocates to buffers. If size is positive and at most maxPreallocated, it reads
// exactly size bytes into one buffer.
func readAll(r io.Reader, size int64, buffers *bufferReservation) ([]byte, error) {
	if size > 0 && size <= maxPreallocated {
		if !buffers.grow(size) {
			return nil, errNoBuffers
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
				return body, errNoBuffers
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
func growBody(body []byte, size int64, buffers *bufferReservation) ([]byte, bool) {
	want := max(2*int64(cap(body)), minBodyBuffer)
	if arrived := int64(len(body)); arrived <= size && float64(arrived) >= arrivedFraction*float64(size) {
		want = size + 1
	}
	if !buffers.grow(want) {
		return body, false
	}
	larger := make([]byte, len(body), want)
	copy(larger, body)
	buffers.shrink(int64(cap(body)))
	return larger, true
}
