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

// EngineOptions configure an Engine.
type EngineOptions struct {
	// Accelerators and MemoryMiB are the number of accelerators and each one's memory.
	Accelerators int
	MemoryMiB    int
	// Slots is the number of sequences that an accelerator batches.
	Slots int
	// DecodeStep is the time of one decoding step of an accelerator with one sequence.
	DecodeStep time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read a second.
	PrefillTokensPerSecond float64
	// UnloadTime is the time that an unload takes.
	UnloadTime time.Duration
	// Weights is the weight store's base URL.
	Weights string
	// CheckFence makes the engine refuse orders with an old fencing token.
	CheckFence bool
	// ReportLag is by how much the load in a status may be out of date.
	ReportLag time.Duration
}

// finishedKept is the number of finished orders that the engine lists.
const finishedKept = 256

// EngineStats counts what must not happen and what is measured.
type EngineStats struct {
	Overcommits int `json:"overcommits"`
	Loads       int `json:"loads"`
	Unloads     int `json:"unloads"`
	Fenced      int `json:"fenced"`
	Interrupted int `json:"cut"`
	Completed   int `json:"completed"`
	Tokens      int `json:"tokens"`
	// LastStartMs is when the last request started, as Unix time.
	LastStartMs int64 `json:"last_start_ms"`
}

// SeenResponse counts the starts of each request id.
type SeenResponse struct {
	Seen map[string]int `json:"seen"`
}

// resident is a model or adapter with its running sequences.
type resident struct {
	fleet.Resident
	base    string
	running int
}

// An Engine stands in for a model engine with several accelerators.
type Engine struct {
	faultBox
	echo *echo.Echo
	opts EngineOptions

	mu        sync.Mutex
	residents []*resident
	// finished holds the ids of the orders that ended last, fence the highest token seen.
	finished []string
	fence    int64
	// running holds the running sequences of each accelerator, waiters those that wait.
	running []int
	waiters []*sequence
	// cached holds when each cached prefix was last used.
	cached map[uint64]time.Time
	// reported is the load in the status, reportedAt when it was taken.
	reported   int
	reportedAt time.Time
	stats      EngineStats
	// seen counts the starts of each request id.
	seen map[string]int
}

// NewEngine returns an engine with nothing resident.
func NewEngine(o EngineOptions) *Engine {
	s := &Engine{echo: newEcho(), opts: o, running: make([]int, o.Accelerators), cached: make(map[uint64]time.Time)}
	s.seen = make(map[string]int)
	s.register(s.echo)
	s.echo.GET(engine.PathStatus, s.status)
	s.echo.POST(engine.PathOrders, s.order)
	s.echo.POST("/v1/chat/completions", s.generate)
	s.echo.POST("/v1/completions", s.generate)
	s.echo.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Stats()) })
	s.echo.GET("/seen", s.listSeen)
	return s
}

// listSeen answers with the starts of each request id.
func (s *Engine) listSeen(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, SeenResponse{Seen: s.seen})
}

// ServeHTTP makes Engine an http.Handler.
func (s *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Stats returns the counts so far.
func (s *Engine) Stats() EngineStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// status answers with the engine's report; its load is as old as the lag allows.
func (s *Engine) status(c echo.Context) error {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.opts.ReportLag {
		s.reported, s.reportedAt = s.busy(), now
	}
	st := engine.Status{Fence: s.fence, Slots: s.opts.Slots, Finished: slices.Clone(s.finished), Running: s.reported}
	for range s.opts.Accelerators {
		st.MemoryMiB = append(st.MemoryMiB, s.opts.MemoryMiB)
	}
	for _, r := range s.residents {
		st.Residents = append(st.Residents, r.Resident)
	}
	s.mu.Unlock()
	return c.JSON(http.StatusOK, st)
}

// busy returns the running sequences of all accelerators; s.mu is held.
func (s *Engine) busy() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

// order takes an order and carries it out after the acknowledgement.
func (s *Engine) order(c echo.Context) error {
	var o engine.Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	if late := s.get().OrderDelayMs; late > 0 {
		time.AfterFunc(time.Duration(late)*time.Millisecond, func() { s.take(o) })
		return c.NoContent(http.StatusAccepted)
	}
	if !s.take(o) {
		return c.NoContent(http.StatusConflict)
	}
	return c.NoContent(http.StatusAccepted)
}

// take starts an order unless it is fenced off.
func (s *Engine) take(o engine.Order) bool {
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

// startLoad takes the memory and loads in the background; s.mu is held.
func (s *Engine) startLoad(o engine.Order) {
	if s.find(o.Name, o.Accelerator) != nil || o.Accelerator >= s.opts.Accelerators {
		s.finish(o.ID)
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
		s.finish(o.ID)
		return
	}
	r := &resident{base: o.Base}
	r.Resident = fleet.Resident{Name: o.Name, Accelerator: o.Accelerator, State: fleet.StateLoading, MemoryMiB: o.MemoryMiB}
	s.residents = append(s.residents, r)
	s.stats.Loads++
	go s.load(o, r)
}

// load fetches the weights and ends the order.
func (s *Engine) load(o engine.Order, r *resident) {
	err := s.fetch(o.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.failLoad() {
		s.remove(r)
	} else {
		r.State = fleet.StateReady
	}
	s.finish(o.ID)
}

// fetchRetry is the pause before a load that the weight store refused is tried again.
const fetchRetry = 20 * time.Millisecond

// fetch waits for the weight store to deliver.
func (s *Engine) fetch(name string) error {
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
			time.Sleep(fetchRetry)
		default:
			return http.ErrNotSupported
		}
	}
}

// startUnload frees the memory in the background; s.mu is held.
func (s *Engine) startUnload(o engine.Order) {
	r := s.find(o.Name, o.Accelerator)
	if r == nil || r.State != fleet.StateReady {
		s.finish(o.ID)
		return
	}
	r.State = fleet.StateUnloading
	s.stats.Unloads++
	s.stats.Interrupted += r.running
	time.AfterFunc(s.opts.UnloadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(r)
		s.finish(o.ID)
	})
}

// find returns what is resident on an accelerator under a name, or nil; s.mu is held.
func (s *Engine) find(name string, accelerator int) *resident {
	i := slices.IndexFunc(s.residents, func(r *resident) bool {
		return r.Name == name && r.Accelerator == accelerator
	})
	if i < 0 {
		return nil
	}
	return s.residents[i]
}

// remove takes a resident out; s.mu is held.
func (s *Engine) remove(r *resident) {
	s.residents = slices.DeleteFunc(s.residents, func(o *resident) bool { return o == r })
}

// finish lists an order among those that ended; s.mu is held.
func (s *Engine) finish(id string) {
	s.finished = append(s.finished, id)
	if extra := len(s.finished) - finishedKept; extra > 0 {
		s.finished = slices.Clone(s.finished[extra:])
	}
}
