package agent

import (
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

// heartbeats is the number of signs of life in the time after which a silent
// agent counts as lost.
const heartbeats = 4

// A heartbeat tells the entry, by interim responses of status 102, that the
// agent is alive while a request waits or runs without an answer yet.
type heartbeat struct {
	once sync.Once
	done chan struct{}
	wg   sync.WaitGroup
}

func startHeartbeat(c echo.Context, every time.Duration) *heartbeat {
	h := &heartbeat{done: make(chan struct{})}
	h.wg.Add(1)
	go h.run(c.Response().Writer, every)
	return h
}

func (h *heartbeat) run(w http.ResponseWriter, every time.Duration) {
	defer h.wg.Done()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.WriteHeader(http.StatusProcessing)
		case <-h.done:
			return
		}
	}
}

// stop ends the heartbeat; after it the answer may be written.
func (h *heartbeat) stop() {
	h.once.Do(func() { close(h.done) })
	h.wg.Wait()
}
