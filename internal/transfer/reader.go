package transfer

import "io"

// A ProgressReader calls a function after each read that returned data.
type ProgressReader struct {
	source     io.Reader
	onProgress func()
}

// NewProgressReader returns a ProgressReader that reads from source.
func NewProgressReader(source io.Reader, onProgress func()) *ProgressReader {
	return &ProgressReader{source: source, onProgress: onProgress}
}

// Read implements io.Reader.
func (r *ProgressReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if n > 0 {
		r.onProgress()
	}
	return n, err
}
