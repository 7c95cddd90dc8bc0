package agent

import (
	"net/http"
	"time"

	"rockcleat/clock"
)

// heartbeatsPerTimeout is the number of heartbeats sent within the time without data after which an
// entry considers the agent lost.
const heartbeatsPerTimeout = 4

// startHeartbeat sends an interim response with status 102 at each interval, so that the entry
// knows that the agent is alive while the request waits or runs. The final response must not be
// written before stop has returned.
func startHeartbeat(c clock.Service, w http.ResponseWriter, interval time.Duration) (stop func()) {
	return c.Subscribe(interval, func(time.Time) { w.WriteHeader(http.StatusProcessing) })
}
