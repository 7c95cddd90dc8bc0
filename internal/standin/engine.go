package standin

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"rockcleat/fleet"
	"rockcleat/internal/engine"
	"rockcleat/ledger"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	// Accelerators is the number of accelerators and MemoryMiB the memory of each.
	Accelerators int
	MemoryMiB    int
	// Slots is the maximum batch size of an accelerator, in sequences.
	Slots int
	// DecodeStep is the duration of one decoding step, before the slowdown by the batch.
	DecodeStep time.Duration
	// PrefillTokensPerSecond is the prefill rate in prompt tokens per second. If it is zero,
	// prefill takes no time.
	PrefillTokensPerSecond float64
	// UnloadTime is the duration of an unload.
	UnloadTime time.Duration
	// Weights is the base URL of the weight store. If it is empty, loads fetch nothing.
	Weights string
	// CheckFence makes the engine refuse orders whose fencing token is lower than the
	// highest it has seen.
	CheckFence bool
	// ReportLag is the maximum age of the load in a status.
	ReportLag time.Duration
}

// maxFinished is the maximum number of finished orders in a status.
const maxFinished = 256

// EngineStats holds the counters of an Engine.
type EngineStats struct {
	// Overcommits counts load orders that exceeded the memory of an accelerator.
	Overcommits int `json:"overcommits"`
	Loads       int `json:"loads"`
	Unloads     int `json:"unloads"`
	// Fenced counts orders refused for their fencing token.
	Fenced int `json:"fenced"`
	// Interrupted counts sequences whose model or adapter was unloaded before they ended.
	Interrupted int `json:"cut"`
	Completed   int `json:"completed"`
	Tokens      int `json:"tokens"`
	// LastStartMs is the time at which the last request was admitted, in Unix milliseconds.
	LastStartMs int64 `json:"last_start_ms"`
}

// SeenResponse is the response of /seen: the number of admissions of each request ID.
type SeenResponse struct {
	Seen map[string]int `json:"seen"`
}

// resident is a model or adapter on an accelerator.
type resident struct {
	fleet.Resident
	base string
	// admitted is the number of its sequences, queued ones included.
	admitted int
}

// An Engine is a fake model engine with several accelerators.
type Engine struct {
	faultInjector
	echo *echo.Echo
	opts EngineOptions

	mu        sync.Mutex
	residents []*resident
	// finished holds the IDs of the most recently finished orders, oldest first.
	finished []string
	// fence is the highest fencing token seen.
	fence int64
	// running is the number of running sequences of each accelerator.
	running []int
	// queue holds the sequences that wait for a slot, in order of arrival.
	queue []*sequence
	// prefixCache maps the hash of each cached prefix to the time of its last use.
	prefixCache map[uint64]time.Time
	// reportedRunning is the number of running sequences in the status, as of reportedAt.
	reportedRunning int
	reportedAt      time.Time
	stats           EngineStats
	// starts counts the admissions of each request ID.
	starts map[string]int
}

// NewEngine returns an engine with nothing resident.
func NewEngine(o EngineOptions) *Engine {
	s := &Engine{echo: newEcho(), opts: o, running: make([]int, o.Accelerators), prefixCache: make(map[uint64]time.Time)}
	s.starts = make(map[string]int)
	s.register(s.echo)
	s.echo.GET(engine.PathStatus, s.handleStatus)
	s.echo.POST(engine.PathOrders, s.handleOrder)
	s.echo.POST("/v1/chat/completions", s.handleCompletion)
	s.echo.POST("/v1/completions", s.handleCompletion)
	s.echo.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	s.echo.GET("/seen", s.handleSeen)
	return s
}

func (s *Engine) handleSeen(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, SeenResponse{Seen: s.starts})
}

// ServeHTTP implements http.Handler.
func (s *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Stats returns a copy of the counters.
func (s *Engine) Stats() EngineStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// handleStatus responds with the engine's status. The reported load is refreshed once it is
// older than ReportLag.
func (s *Engine) handleStatus(c echo.Context) error {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.opts.ReportLag {
		s.reportedRunning, s.reportedAt = s.totalRunning(), now
	}
	st := engine.Status{Fence: s.fence, Slots: s.opts.Slots, Finished: slices.Clone(s.finished), Running: s.reportedRunning}
	for range s.opts.Accelerators {
		st.MemoryMiB = append(st.MemoryMiB, s.opts.MemoryMiB)
	}
	for _, r := range s.residents {
		st.Residents = append(st.Residents, r.Resident)
	}
	s.mu.Unlock()
	return c.JSON(http.StatusOK, st)
}

// totalRunning returns the number of running sequences of all accelerators. s.mu must be held.
func (s *Engine) totalRunning() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

// handleOrder acknowledges an order, which then runs in the background. An order delayed by
// OrderDelayMs is acknowledged before its fencing token is checked.
func (s *Engine) handleOrder(c echo.Context) error {
	var o engine.Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	if delayMs := s.currentFaults().OrderDelayMs; delayMs > 0 {
		time.AfterFunc(time.Duration(delayMs)*time.Millisecond, func() { s.acceptOrder(o) })
		return c.NoContent(http.StatusAccepted)
	}
	if !s.acceptOrder(o) {
		return c.NoContent(http.StatusConflict)
	}
	return c.NoContent(http.StatusAccepted)
}

// acceptOrder starts an order. It reports false if the order's fencing token is out of date.
func (s *Engine) acceptOrder(o engine.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.CheckFence && o.Fence < s.fence {
		s.stats.Fenced++
		return false
	}
	s.fence = max(s.fence, o.Fence)
	switch o.Op {
	case ledger.OpLoad:
		s.startLoad(o)
	case ledger.OpUnload:
		s.startUnload(o)
	}
	return true
}

// startLoad reserves the memory and loads in the background. s.mu must be held.
func (s *Engine) startLoad(o engine.Order) {
	if s.find(o.Name, o.Accelerator) != nil || o.Accelerator >= s.opts.Accelerators {
		s.recordFinished(o.ID)
		return
	}
	used := o.MemoryMiB
	for _, r := range s.residents {
		if r.Accelerator == o.Accelerator {
			used += r.MemoryMiB
		}
	}
	if used > s.opts.MemoryMiB {
		s.stats.Overcommits++
		s.recordFinished(o.ID)
		return
	}
	r := &resident{base: o.Base}
	r.Resident = fleet.Resident{Name: o.Name, Accelerator: o.Accelerator, State: fleet.StateLoading, MemoryMiB: o.MemoryMiB}
	s.residents = append(s.residents, r)
	s.stats.Loads++
	go s.load(o, r)
}

// load fetches the weights and finishes the order. If that fails, it removes the resident.
func (s *Engine) load(o engine.Order, r *resident) {
	err := s.fetchWeights(o.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.takeFailedLoad() {
		s.remove(r)
	} else {
		r.State = fleet.StateReady
	}
	s.recordFinished(o.ID)
}

// fetchRetryDelay is the delay before a fetch that the weight store rate-limited is retried.
const fetchRetryDelay = 20 * time.Millisecond

// fetchWeights gets the weights from the weight store. It retries while the store limits the rate.
func (s *Engine) fetchWeights(name string) error {
	if s.opts.Weights == "" {
		return nil
	}
	for {
		url := s.opts.Weights + "/v1/weights/data?name=" + url.QueryEscape(name)
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK:
			return nil
		case http.StatusTooManyRequests:
			time.Sleep(fetchRetryDelay)
		default:
			return http.ErrNotSupported
		}
	}
}

// startUnload frees the memory after UnloadTime. An unload of something that is not ready
// finishes without effect. s.mu must be held.
func (s *Engine) startUnload(o engine.Order) {
	r := s.find(o.Name, o.Accelerator)
	if r == nil || r.State != fleet.StateReady {
		s.recordFinished(o.ID)
		return
	}
	r.State = fleet.StateUnloading
	s.stats.Unloads++
	s.stats.Interrupted += r.admitted
	time.AfterFunc(s.opts.UnloadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(r)
		s.recordFinished(o.ID)
	})
}

// find returns the resident of that name on an accelerator, or nil. s.mu must be held.
func (s *Engine) find(name string, accelerator int) *resident {
	i := slices.IndexFunc(s.residents, func(r *resident) bool {
		return r.Name == name && r.Accelerator == accelerator
	})
	if i < 0 {
		return nil
	}
	return s.residents[i]
}

// remove removes a resident. s.mu must be held.
func (s *Engine) remove(r *resident) {
	s.residents = slices.DeleteFunc(s.residents, func(o *resident) bool { return o == r })
}

// recordFinished records an order as finished. s.mu must be held.
func (s *Engine) recordFinished(id string) {
	s.finished = append(s.finished, id)
	if excess := len(s.finished) - maxFinished; excess > 0 {
		s.finished = slices.Clone(s.finished[excess:])
	}
}
