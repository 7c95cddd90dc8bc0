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

// A sequence is one request inside the engine.
type sequence struct {
	priority int
	model    string
	acc      int
	start    chan bool
}

// How the engine behaves.
const (
	// defaultTokens is the length of an answer whose request sets none.
	defaultTokens = 16
	// batchSlowdown is by how much a full batch slows each step.
	batchSlowdown = 0.5
	// prefixBytes is how much of a prompt counts as its prefix.
	prefixBytes = 256
	// bytesPerToken is the length of a token of a prompt.
	bytesPerToken = 4
	// cacheLimit is the number of prefixes that the engine keeps.
	cacheLimit = 64
)

// endedByRequest is the exit code of an engine that a request has ended.
const endedByRequest = 3

// generate answers a completion with tokens that follow from the prompt alone.
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
	if mark := s.get().ExitOn; mark != "" && bytes.Contains(data, []byte(mark)) {
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

// admit puts the sequence into its accelerator's batch or its queue.
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

// withdraw takes back a sequence that waits or was just started.
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

// leave ends a sequence and starts the waiting one of the highest priority.
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

// prefill returns the time to read the prompt, little if its prefix is cached.
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
	if s.opts.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens / s.opts.PrefillTokensPerSecond * float64(time.Second))
}

// evict drops the prefix used longest ago; s.mu is held.
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

// token returns the i-th token of the answer to a prompt.
func token(req openai.Request, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, rendezvous.Key(req.Model+req.Prompt()+strconv.Itoa(i))&0xffff)
}

// ResponseText returns the first n tokens of the answer to a request, as any engine gives them.
func ResponseText(req openai.Request, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(token(req, i))
	}
	return b.String()
}

// step waits for one decoding step and reports whether the sequence goes on.
func (s *Engine) step(c echo.Context, q *sequence) bool {
	s.mu.Lock()
	part := float64(s.running[q.acc]) / float64(s.opts.Slots)
	resident := s.find(q.model, q.acc) != nil
	s.stats.Tokens++
	s.mu.Unlock()
	return pause(c, time.Duration(float64(s.opts.DecodeStep)*(1+batchSlowdown*part))) && resident
}

// stream sends the tokens from one on as events, and the end mark.
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

// completed counts an answer that was sent whole.
func (s *Engine) completed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

// writeEvent sends one event.
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

// whole sends the answer at once, after the time of all its steps.
func (s *Engine) whole(c echo.Context, q *sequence, req openai.Request, total int) error {
	for range total {
		if !s.step(c, q) {
			return abort()
		}
	}
	s.completed()
	return c.JSON(http.StatusOK, whole(req, ResponseText(req, total), total))
}
