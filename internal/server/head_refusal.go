package server

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/clock"
	"rockcleat/intake"
)

// A HeadRefusal is the response to a request whose header is not read to its end. The request has not run.
type HeadRefusal struct {
	Status int
	// RetryAfter is the value of the Retry-After header; 0 omits it.
	RetryAfter time.Duration
}

// headRefusals holds the refusals of headers that hold too much.
var headRefusals = map[intake.HeadVerdict]HeadRefusal{
	intake.HeadTooLarge: {Status: http.StatusRequestHeaderFieldsTooLarge},
	intake.HeadsTooMany: {Status: http.StatusServiceUnavailable, RetryAfter: headRetryAfter},
}

// RefusalOf returns the refusal of a header about which v was decided. It reports false if the header may go on.
func RefusalOf(v intake.HeadVerdict) (HeadRefusal, bool) {
	refusal, ok := headRefusals[v]
	return refusal, ok
}

const (
	// headRetryAfter is the Retry-After of a request that is refused since the headers of others use up the memory for them.
	headRetryAfter = 200 * time.Millisecond
	// refusalWriteTimeout bounds the writing of a HeadRefusal.
	refusalWriteTimeout = 50 * time.Millisecond
	// lingerBytes bounds, with discardTimeout, what is read of a request after its refusal. A connection that is closed with unread
	// data is reset, and a reset may overtake the response.
	lingerBytes = 256 << 10
)

// Write sends the response to the request that is being read from conn, and reads what still comes of it for a moment. The
// caller closes the connection. Errors are ignored for that reason.
func (r HeadRefusal) Write(conn net.Conn) {
	header := make(http.Header)
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	const notRun = "not run\n"
	response := http.Response{
		StatusCode: r.Status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		Body: io.NopCloser(strings.NewReader(notRun)), ContentLength: int64(len(notRun)),
	}
	_ = conn.SetWriteDeadline(clock.SystemDeadline(refusalWriteTimeout))
	_ = response.Write(conn)
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	_ = conn.SetReadDeadline(clock.SystemDeadline(discardTimeout))
	_, _ = io.CopyN(io.Discard, conn, lingerBytes)
}
