package server

import (
	"io"
	"net/http"
	"time"

	"rockcleat/clock"
)

const (
	// bodyTimeout bounds the reading of a request's body by handlers that set no deadline, and discardTimeout that of the rest
	// of a body which a handler has not read.
	bodyTimeout    = 20 * time.Second
	discardTimeout = 500 * time.Millisecond
)

// boundBody returns a handler that gives up the body of a request after bodyTimeout, and its rest soon after h returns.
func boundBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		body := &boundedBody{ReadCloser: r.Body, controller: http.NewResponseController(w)}
		// Setting a deadline fails only on a closed connection, which reads report.
		_ = body.controller.SetReadDeadline(clock.SystemDeadline(bodyTimeout))
		defer body.leave()
		request := r.WithContext(r.Context())
		request.Body = body
		h.ServeHTTP(w, request)
	})
}

// A boundedBody ends the deadline for reading a body at its end.
type boundedBody struct {
	io.ReadCloser
	controller *http.ResponseController
	ended      bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// leave bounds how long net/http reads the rest of the body around the response.
func (b *boundedBody) leave() {
	if !b.ended {
		_ = b.controller.SetReadDeadline(clock.SystemDeadline(discardTimeout))
	}
}
