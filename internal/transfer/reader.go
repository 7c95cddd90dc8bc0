package transfer

import "io"

// A Reader calls a function after each read that returned data.
type Reader struct {
	from     io.Reader
	progress func()
}

// NewReader returns a Reader that reads from from and calls progress after each read that returned data.
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
