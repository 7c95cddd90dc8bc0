package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/internal/openai"
	"rockcleat/internal/wire"
)

// An Response is what a caller saw of one request.
type Response struct {
	Status     int
	Outcome    wire.Outcome
	Replayed   bool
	RetryAfter time.Duration
	Reason     string
	Body       string
	// Text is the answer's text and Tokens the number of its events.
	Text   string
	Tokens int
	// Complete says that a stream had its end mark, or another answer its full length.
	Complete   bool
	FirstToken time.Duration
	Total      time.Duration
	// Err is the transport's error, if the answer was cut.
	Err error
}

// ChatBody returns the body of a chat request.
func ChatBody(model, prompt string, tokens int, stream bool) []byte {
	content, err := json.Marshal(prompt)
	if err != nil {
		return nil
	}
	b, err := json.Marshal(openai.Request{
		Model: model, Stream: stream, MaxTokens: tokens,
		Messages: []openai.Message{{Role: "user", Content: content}},
	})
	if err != nil {
		return nil
	}
	return b
}

// A Caller sends requests as the system's callers do.
type Caller struct {
	HTTP *http.Client
}

// NewCaller returns a Caller with connections of its own.
func NewCaller() *Caller {
	return &Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// A Request is one request of a caller.
type Request struct {
	// Method is POST if empty, Path that of chat completions.
	Method string
	Addr   string
	Path   string
	Body   []byte
	// Key, if not empty, is the Idempotency-Key, and ID the request id.
	Key string
	ID  string
}

// Send sends a request and reads its answer to the end.
func (c *Caller) Send(ctx context.Context, r Request) Response {
	began := time.Now()
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Path == "" {
		r.Path = "/v1/chat/completions"
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set(wire.HeaderIdempotencyKey, r.Key)
	}
	if r.ID != "" {
		req.Header.Set(wire.HeaderRequestID, r.ID)
	}
	wire.DisableRetry(req)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Response{Err: err, Total: time.Since(began)}
	}
	defer resp.Body.Close()
	a := Response{
		Status: resp.StatusCode, Outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)),
		Replayed: resp.Header.Get(wire.HeaderReplayed) != "", RetryAfter: wire.RetryAfter(resp.Header),
		Reason: resp.Header.Get(wire.HeaderReason),
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, began)
	} else {
		a.readWhole(resp.Body, began)
	}
	a.Total = time.Since(began)
	return a
}

// readWhole reads an answer that is no stream.
func (a *Response) readWhole(r io.Reader, began time.Time) {
	data, err := io.ReadAll(r)
	a.FirstToken = time.Since(began)
	a.Body, a.Err, a.Complete = string(data), err, err == nil
	var c openai.Completion
	if json.Unmarshal(data, &c) == nil && len(c.Choices) > 0 && c.Choices[0].Message != nil {
		a.Text = c.Choices[0].Message.Content
	}
}

// readStream reads the events of a stream.
func (a *Response) readStream(r io.Reader, began time.Time) {
	s := bufio.NewScanner(r)
	var text strings.Builder
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if a.FirstToken == 0 {
			a.FirstToken = time.Since(began)
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var c openai.Completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			a.Err = eris.Errorf("lab: event %q", data)
			continue
		}
		if d := c.Choices[0].Delta; d != nil && d.Content != "" {
			text.WriteString(d.Content)
			a.Tokens++
		}
	}
	a.Text = text.String()
	if s.Err() != nil {
		a.Err = s.Err()
	}
}
