package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"rockcleat/fleet"
	"rockcleat/internal/engine"
	"rockcleat/internal/openai"
	"rockcleat/internal/wire"
	"rockcleat/rendezvous"
)

// A sequence is one admitted request.
type sequence struct {
	priority int
	model    string
	acc      int
	// start receives a value once the sequence has a slot.
	start chan bool
}

// Parameters of the simulated engine.
const (
	// defaultTokens is the number of tokens of a response whose request sets no maximum.
	defaultTokens = 16
	// batchSlowdown is the fraction by which a full batch lengthens each decoding step.
	batchSlowdown = 0.5
	// prefixBytes is the length of the part of a prompt that the cache holds.
	prefixBytes = 256
	// bytesPerToken is the assumed length of a prompt token.
	bytesPerToken = 4
	// cacheLimit is the maximum number of cached prefixes.
	cacheLimit = 64
)

// endedByRequest is the exit code of an engine ended by Faults.EndOn.
const endedByRequest = 3

// generate handles a completion request. The tokens depend only on the model and the prompt.
func (s *Engine) generate(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	req, err := openai.ParseRequest(data)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	acc, _ := strconv.Atoi(c.Request().Header.Get(engine.HeaderAccelerator))
	priority, _ := strconv.Atoi(c.Request().Header.Get(engine.HeaderPriority))
	from, _ := strconv.Atoi(c.Request().Header.Get(wire.HeaderResume))
	q := &sequence{priority: priority, model: req.Model, acc: acc, start: make(chan bool, 1)}
	if !s.admit(q, c.Request().Header.Get(wire.HeaderRequestID)) {
		return c.JSON(http.StatusNotFound, map[string]string{"error": "model not resident"})
	}
	select {
	case <-q.start:
	case <-c.Request().Context().Done():
		s.withdraw(q)
		return nil
	}
	defer s.leave(q)
	if mark := s.get().EndOn; mark != "" && bytes.Contains(data, []byte(mark)) {
		os.Exit(endedByRequest)
	}
	total := req.MaxTokens
	if total <= 0 {
		total = defaultTokens
	}
	if !pause(c, s.prefill(req)) {
		return nil
	}
	if req.Stream {
		return s.stream(c, q, req, from, total)
	}
	return s.whole(c, q, req, total)
}

// admit adds the sequence to the batch of its accelerator, or to the queue if the batch is
// full. It reports false if the model is not ready on that accelerator.
func (s *Engine) admit(q *sequence, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(q.model, q.acc)
	if r == nil || r.State != fleet.StateReady {
		return false
	}
	r.running++
	s.seen[id]++
	s.stats.LastStartMs = time.Now().UnixMilli()
	if s.running[q.acc] < s.opts.Slots {
		s.running[q.acc]++
		q.start <- true
		return true
	}
	s.waiters = append(s.waiters, q)
	return true
}

// withdraw cancels a sequence that is still queued or has just been given a slot.
func (s *Engine) withdraw(q *sequence) {
	s.mu.Lock()
	i := slices.Index(s.waiters, q)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		if r := s.find(q.model, q.acc); r != nil {
			r.running--
		}
	}
	s.mu.Unlock()
	if i < 0 {
		s.leave(q)
	}
}

// leave ends a sequence and gives its slot to the queued sequence of the highest priority,
// the first to arrive among equals.
func (s *Engine) leave(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.find(q.model, q.acc); r != nil {
		r.running--
	}
	next := -1
	for i, w := range s.waiters {
		if w.acc == q.acc && (next < 0 || w.priority > s.waiters[next].priority) {
			next = i
		}
	}
	if next < 0 {
		s.running[q.acc]--
		return
	}
	w := s.waiters[next]
	s.waiters = slices.Delete(s.waiters, next, next+1)
	w.start <- true
}

// prefill returns the prefill time of the prompt and caches its prefix. A prefix that was
// already cached costs nothing.
func (s *Engine) prefill(req openai.Request) time.Duration {
	prompt := req.Prompt()
	tokens := float64(len(prompt))/bytesPerToken + 1
	prefix := rendezvous.Key(req.Model + "\x00" + prompt[:min(len(prompt), prefixBytes)])
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.cached[prefix]; ok {
		tokens = max(tokens-prefixBytes/bytesPerToken, 1)
	}
	s.cached[prefix] = time.Now()
	s.evict()
	if s.opts.PrefillPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens / s.opts.PrefillPerSecond * float64(time.Second))
}

// evict removes the least recently used prefix if the cache is over its limit. s.mu must be
// held.
func (s *Engine) evict() {
	if len(s.cached) <= cacheLimit {
		return
	}
	var oldest uint64
	first := true
	for p, at := range s.cached {
		if first || at.Before(s.cached[oldest]) {
			oldest, first = p, false
		}
	}
	delete(s.cached, oldest)
}

// token returns the i-th token of the response to a request.
func token(req openai.Request, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, rendezvous.Key(req.Model+req.Prompt()+strconv.Itoa(i))&0xffff)
}

// Text returns the first n tokens of the response to a request, which are the same on every
// Engine.
func Text(req openai.Request, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(req, i))
	}
	return b.String()
}

// step waits for one decoding step. It reports false if the request was canceled or the model
// was not resident when the step began.
func (s *Engine) step(c echo.Context, q *sequence) bool {
	s.mu.Lock()
	part := float64(s.running[q.acc]) / float64(s.opts.Slots)
	resident := s.find(q.model, q.acc) != nil
	s.stats.Tokens++
	s.mu.Unlock()
	return pause(c, time.Duration(float64(s.opts.Step)*(1+batchSlowdown*part))) && resident
}

// stream sends the tokens beginning with index from as server-sent events, followed by [DONE].
func (s *Engine) stream(c echo.Context, q *sequence, req openai.Request, from, total int) error {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from; i < total; i++ {
		if !s.step(c, q) {
			return abort()
		}
		if err := writeEvent(w, chunk(req, token(req, i), "")); err != nil {
			return nil
		}
	}
	if err := writeEvent(w, chunk(req, "", "length")); err != nil {
		return nil
	}
	s.completed()
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	w.Flush()
	return nil
}

func (s *Engine) completed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

// writeEvent sends one server-sent event.
func writeEvent(w *echo.Response, chunk openai.Completion) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	w.Flush()
	return nil
}

// whole sends the complete response after all decoding steps.
func (s *Engine) whole(c echo.Context, q *sequence, req openai.Request, total int) error {
	for range total {
		if !s.step(c, q) {
			return abort()
		}
	}
	s.completed()
	return c.JSON(http.StatusOK, whole(req, Text(req, total), total))
}
