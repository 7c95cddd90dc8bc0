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
	priority    int
	model       string
	accelerator int
	// started receives a value once the sequence has a slot.
	started chan bool
}

// Parameters of the simulated engine.
const (
	// defaultMaxTokens is the number of tokens of a response whose request sets no maximum.
	defaultMaxTokens = 16
	// batchSlowdown is the fraction by which a full batch lengthens each decoding step.
	batchSlowdown = 0.5
	// cachedPrefixLength is the length of the part of a prompt that the cache covers, in bytes.
	cachedPrefixLength = 256
	// bytesPerToken is the assumed length of a prompt token, in bytes.
	bytesPerToken = 4
	// maxCachedPrefixes is the maximum number of cached prefixes.
	maxCachedPrefixes = 64
)

// exitOnExitCode is the exit code of an engine that exits because of Faults.ExitOn.
const exitOnExitCode = 3

// handleCompletion handles a completion request. The tokens depend only on the model and the
// prompt, so that another engine can continue a stream.
func (s *Engine) handleCompletion(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	req, err := openai.ParseRequest(data)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	accelerator, _ := strconv.Atoi(c.Request().Header.Get(engine.HeaderAccelerator))
	priority, _ := strconv.Atoi(c.Request().Header.Get(engine.HeaderPriority))
	from, _ := strconv.Atoi(c.Request().Header.Get(wire.HeaderResume))
	seq := &sequence{priority: priority, model: req.Model, accelerator: accelerator, started: make(chan bool, 1)}
	if !s.admit(seq, c.Request().Header.Get(wire.HeaderRequestID)) {
		return c.JSON(http.StatusNotFound, map[string]string{"error": "model not resident"})
	}
	select {
	case <-seq.started:
	case <-c.Request().Context().Done():
		s.cancel(seq)
		return nil
	}
	defer s.release(seq)
	if trigger := s.currentFaults().ExitOn; trigger != "" && bytes.Contains(data, []byte(trigger)) {
		os.Exit(exitOnExitCode)
	}
	total := req.MaxTokens
	if total <= 0 {
		total = defaultMaxTokens
	}
	if !sleep(c, s.prefillTime(req)) {
		return nil
	}
	if req.Stream {
		return s.sendStream(c, seq, req, from, total)
	}
	return s.sendCompletion(c, seq, req, total)
}

// admit adds the sequence to the batch of its accelerator, or to the queue if the batch is
// full. It reports false if the model is not ready on that accelerator.
func (s *Engine) admit(seq *sequence, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(seq.model, seq.accelerator)
	if r == nil || r.State != fleet.StateReady {
		return false
	}
	r.admitted++
	s.starts[id]++
	s.stats.LastStartMs = time.Now().UnixMilli()
	if s.running[seq.accelerator] < s.opts.Slots {
		s.running[seq.accelerator]++
		seq.started <- true
		return true
	}
	s.queue = append(s.queue, seq)
	return true
}

// cancel cancels a sequence that is still queued or has just been given a slot.
func (s *Engine) cancel(seq *sequence) {
	s.mu.Lock()
	i := slices.Index(s.queue, seq)
	if i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		if r := s.find(seq.model, seq.accelerator); r != nil {
			r.admitted--
		}
	}
	s.mu.Unlock()
	if i < 0 {
		s.release(seq)
	}
}

// release ends a sequence and gives its slot to the queued sequence of the highest priority,
// the first to arrive among equals.
func (s *Engine) release(seq *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.find(seq.model, seq.accelerator); r != nil {
		r.admitted--
	}
	next := -1
	for i, w := range s.queue {
		if w.accelerator == seq.accelerator && (next < 0 || w.priority > s.queue[next].priority) {
			next = i
		}
	}
	if next < 0 {
		s.running[seq.accelerator]--
		return
	}
	w := s.queue[next]
	s.queue = slices.Delete(s.queue, next, next+1)
	w.started <- true
}

// prefillTime returns the prefill time of a prompt and caches its prefix. A prefix that was
// already cached takes no time.
func (s *Engine) prefillTime(req openai.Request) time.Duration {
	prompt := req.Prompt()
	tokens := float64(len(prompt))/bytesPerToken + 1
	prefix := rendezvous.Key(req.Model + "\x00" + prompt[:min(len(prompt), cachedPrefixLength)])
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.prefixCache[prefix]; ok {
		tokens = max(tokens-cachedPrefixLength/bytesPerToken, 1)
	}
	s.prefixCache[prefix] = time.Now()
	s.evictPrefix()
	if s.opts.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens / s.opts.PrefillTokensPerSecond * float64(time.Second))
}

// evictPrefix removes the least recently used prefix if the cache is over its limit. s.mu must be
// held.
func (s *Engine) evictPrefix() {
	if len(s.prefixCache) <= maxCachedPrefixes {
		return
	}
	var oldest uint64
	first := true
	for p, at := range s.prefixCache {
		if first || at.Before(s.prefixCache[oldest]) {
			oldest, first = p, false
		}
	}
	delete(s.prefixCache, oldest)
}

// tokenAt returns the i-th token of the response to a request.
func tokenAt(req openai.Request, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, rendezvous.Key(req.Model+req.Prompt()+strconv.Itoa(i))&0xffff)
}

// ResponseText returns the first n tokens of the response to a request, which are the same on every
// Engine.
func ResponseText(req openai.Request, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenAt(req, i))
	}
	return b.String()
}

// decodeStep waits for one decoding step. It reports false if the request was canceled or the model
// was not resident when the step began.
func (s *Engine) decodeStep(c echo.Context, seq *sequence) bool {
	s.mu.Lock()
	batchFill := float64(s.running[seq.accelerator]) / float64(s.opts.Slots)
	resident := s.find(seq.model, seq.accelerator) != nil
	s.stats.Tokens++
	s.mu.Unlock()
	return sleep(c, time.Duration(float64(s.opts.DecodeStep)*(1+batchSlowdown*batchFill))) && resident
}

// sendStream sends the tokens beginning with index from as server-sent events, followed by [DONE].
func (s *Engine) sendStream(c echo.Context, seq *sequence, req openai.Request, from, total int) error {
	w := c.Response()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from; i < total; i++ {
		if !s.decodeStep(c, seq) {
			return abortConnection()
		}
		if err := writeEvent(w, newChunk(req, tokenAt(req, i), "")); err != nil {
			return nil
		}
	}
	if err := writeEvent(w, newChunk(req, "", "length")); err != nil {
		return nil
	}
	s.recordCompleted()
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	w.Flush()
	return nil
}

func (s *Engine) recordCompleted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Completed++
}

// writeEvent sends one server-sent event.
func writeEvent(w *echo.Response, completion openai.Completion) error {
	data, err := json.Marshal(completion)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	w.Flush()
	return nil
}

// sendCompletion sends the complete response after all decoding steps.
func (s *Engine) sendCompletion(c echo.Context, seq *sequence, req openai.Request, total int) error {
	for range total {
		if !s.decodeStep(c, seq) {
			return abortConnection()
		}
	}
	s.recordCompleted()
	return c.JSON(http.StatusOK, newCompletion(req, ResponseText(req, total), total))
}
