package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/bodybuffer"
)

// bodyLimits bound a request's body.
type bodyLimits struct {
	// bytes is the maximum length; 0 for no limit.
	bytes int64
	// buffers is charged with the length.
	buffers *bodybuffer.Reservation
}

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
	body, err := bodybuffer.ReadAll(src, r.ContentLength, limits.buffers)
	if errors.Is(err, bodybuffer.ErrNoMemory) {
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
