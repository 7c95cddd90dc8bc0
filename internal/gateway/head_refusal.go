package gateway

import (
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"rockcleat/internal/server"
)

// Reasons of refusals of headers, as used in metrics and logs.
const (
	reasonLate     = "header_late"
	reasonTooLarge = "header_too_large"
	reasonTooMany  = "headers_too_many"
)

// headerIncomplete refuses a request whose header does not come in time.
var headerIncomplete = server.HeadRefusal{Status: http.StatusRequestTimeout}

// refuse sends the response to the request that is being read. The caller of Read closes the connection.
func (c *callerConn) refuse(r server.HeadRefusal) {
	c.intake.headerRefusals.add(r)
	r.Write(c.TCPConn)
}

// headerRefusalCounts counts refusals of headers by kind. It is safe for concurrent use.
type headerRefusalCounts struct {
	late, tooLarge, tooMany atomic.Int64
}

func (c *headerRefusalCounts) add(r server.HeadRefusal) {
	switch r.Status {
	case http.StatusRequestTimeout:
		c.late.Add(1)
	case http.StatusRequestHeaderFieldsTooLarge:
		c.tooLarge.Add(1)
	default:
		c.tooMany.Add(1)
	}
}

// observe updates the metrics of what callers' requests hold, and logs the refusals of headers since the last call, if there were
// any.
func (c *headerRefusalCounts) observe(i *connIntake) {
	late, tooLarge, tooMany := c.late.Swap(0), c.tooLarge.Swap(0), c.tooMany.Swap(0)
	headers, bodies := i.heads.Used(), i.bodies()
	metrics := i.log.metrics
	metrics.MemoryHeld("headers", headers)
	metrics.MemoryHeld("bodies", bodies)
	if late+tooLarge+tooMany == 0 {
		return
	}
	metrics.HeadersRefused(reasonLate, late)
	metrics.HeadersRefused(reasonTooLarge, tooLarge)
	metrics.HeadersRefused(reasonTooMany, tooMany)
	i.log.log.Info(msgHeadersRefused, zap.Int64(reasonLate, late), zap.Int64(reasonTooLarge, tooLarge), zap.Int64(reasonTooMany, tooMany),
		zap.Int64(fieldHeaderBytes, headers), zap.Int64(fieldBodyBytes, bodies), zap.Int64(fieldOpen, i.open.Load()))
}
