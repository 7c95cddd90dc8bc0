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

// A Response is the response to one request as the client saw it.
type Response struct {
	Status     int
	Outcome    wire.Outcome
	Replayed   bool
	RetryAfter time.Duration
	Reason     string
	// Body is the body of a response that is not streamed.
	Body string
	// Text is the generated text.
	Text string
	// Tokens is the number of events of a stream that carry text.
	Tokens int
	// Complete is set if a stream contained [DONE], or if any other body was read to its end
	// without an error.
	Complete bool
	// FirstToken is the time from sending to the first event of a stream, or to the end of
	// any other body.
	FirstToken time.Duration
	// Total is the time from sending to the end of the response.
	Total time.Duration
	// Err is the error of sending the request, of reading the response or of decoding an event.
	Err error
}

// ChatBody returns the body of a chat completion request. tokens is the maximum number of
// tokens to generate.
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

// A Caller is an HTTP client of the system.
type Caller struct {
	HTTP *http.Client
}

// NewCaller returns a Caller with its own connection pool.
func NewCaller() *Caller {
	return &Caller{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// A Request describes one HTTP request.
type Request struct {
	// Method is the HTTP method, by default POST.
	Method string
	// Addr is the host and port.
	Addr string
	// Path is the URL path, by default that of chat completions.
	Path string
	Body []byte
	// Key is the idempotency key, if any.
	Key string
	// ID is the request ID, if any.
	ID string
}

// Send sends a request without transport retries and reads the response to its end.
func (c *Caller) Send(ctx context.Context, r Request) Response {
	start := time.Now()
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
		return Response{Err: err, Total: time.Since(start)}
	}
	defer resp.Body.Close()
	a := Response{
		Status: resp.StatusCode, Outcome: wire.Outcome(resp.Header.Get(wire.HeaderOutcome)),
		Replayed: resp.Header.Get(wire.HeaderReplayed) != "", RetryAfter: wire.RetryAfter(resp.Header),
		Reason: resp.Header.Get(wire.HeaderReason),
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, start)
	} else {
		a.readBody(resp.Body, start)
	}
	a.Total = time.Since(start)
	return a
}

// readBody reads a response that is not streamed.
func (a *Response) readBody(r io.Reader, start time.Time) {
	data, err := io.ReadAll(r)
	a.FirstToken = time.Since(start)
	a.Body, a.Err, a.Complete = string(data), err, err == nil
	var c openai.Completion
	if json.Unmarshal(data, &c) == nil && len(c.Choices) > 0 && c.Choices[0].Message != nil {
		a.Text = c.Choices[0].Message.Content
	}
}

// readStream reads server-sent events until the stream ends.
func (a *Response) readStream(r io.Reader, start time.Time) {
	s := bufio.NewScanner(r)
	var text strings.Builder
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if a.FirstToken == 0 {
			a.FirstToken = time.Since(start)
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var c openai.Completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			a.Err = eris.Errorf("lab: malformed stream event: %q", data)
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
