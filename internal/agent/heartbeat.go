package agent

import (
	"net/http"
	"time"

	"rockcleat/clock"
)

// heartbeats is the number of heartbeats in the time after which a silent agent counts as
// lost.
const heartbeats = 4

// startHeartbeat shows the entry, by interim responses of status 102, that the agent is alive
// while a request waits or runs without an answer yet. After stop the answer may be written.
func startHeartbeat(c clock.Service, w http.ResponseWriter, every time.Duration) (stop func()) {
	return c.Subscribe(every, func(time.Time) { w.WriteHeader(http.StatusProcessing) })
}
