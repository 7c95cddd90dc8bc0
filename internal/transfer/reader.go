package transfer

import "io"

// A Reader calls a function after each read that returned data.
type Reader struct {
	source     io.Reader
	onProgress func()
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader, onProgress func()) *Reader {
	return &Reader{source: source, onProgress: onProgress}
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
