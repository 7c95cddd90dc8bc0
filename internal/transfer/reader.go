package transfer

import "io"

// A Reader tells of each read that brings something.
type Reader struct {
	from     io.Reader
	progress func()
}

// NewReader returns a Reader of from that calls progress.
func NewReader(from io.Reader, progress func()) *Reader {
	return &Reader{from: from, progress: progress}
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.progress()
	}
	return n, err
}
