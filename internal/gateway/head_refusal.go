package gateway

import (
	"net/http"

	"rockcleat/intake"
	"rockcleat/internal/server"
)

// A headRefusal is the response to a request whose header is not read to its end.
type headRefusal struct {
	server.HeadRefusal
	// reason is the reason in metrics.
	reason string
}

// headerIncomplete refuses a request whose header does not come in time.
var headerIncomplete = &headRefusal{HeadRefusal: server.HeadRefusal{Status: http.StatusRequestTimeout}, reason: "header_late"}

// headRefusals holds the refusals of headers that hold too much.
var headRefusals = map[intake.HeadVerdict]*headRefusal{
	intake.HeadTooLarge: {HeadRefusal: server.HeadRefusal{Status: http.StatusRequestHeaderFieldsTooLarge}, reason: "header_too_large"},
	intake.HeadsTooMany: {HeadRefusal: server.HeadRefusal{Status: http.StatusServiceUnavailable, RetryAfter: minRetryAfter}, reason: "headers_too_many"},
}

// refuse sends the response to the request that is being read. The caller of Read closes the connection.
func (c *callerConn) refuse(r *headRefusal) {
	c.intake.log.metrics.HeaderRefused(r.reason)
	r.Write(c.TCPConn)
}
