package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rockcleat/clock"
	"rockcleat/intake"
)

// A headRefusal is the response to a request whose header is not read to its end. The request has not run.
type headRefusal struct {
	status int
	// reason is the reason in metrics.
	reason     string
	retryAfter time.Duration
}

// headerIncomplete refuses a request whose header does not come in time.
var headerIncomplete = &headRefusal{status: http.StatusRequestTimeout, reason: "header_late"}

// headRefusals holds the refusals of headers that hold too much.
var headRefusals = map[intake.HeadVerdict]*headRefusal{
	intake.HeadTooLarge: {status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"},
	intake.HeadsTooMany: {status: http.StatusServiceUnavailable, reason: "headers_too_many", retryAfter: minRetryAfter},
}

const (
	// refusalWriteTimeout bounds the writing of such a response.
	refusalWriteTimeout = 50 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read of a request after its refusal. A connection that is closed with unread
	// data is reset, and a reset may overtake the response.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// refuse sends the response to the request that is being read, and reads what still comes of it for a moment. Its caller closes
// the connection. Errors are ignored for that reason.
func (c *callerConn) refuse(r *headRefusal) {
	c.intake.log.metrics.HeaderRefused(r.reason)
	header := make(http.Header)
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	const notRun = "not run\n"
	response := http.Response{
		StatusCode: r.status, ProtoMajor: 1, ProtoMinor: 1, Header: header, Close: true,
		Body: io.NopCloser(strings.NewReader(notRun)), ContentLength: int64(len(notRun)),
	}
	_ = c.SetWriteDeadline(clock.SystemDeadline(refusalWriteTimeout))
	_ = response.Write(c.TCPConn)
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(clock.SystemDeadline(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
}
