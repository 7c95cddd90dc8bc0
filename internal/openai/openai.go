package openai

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBadRequest says that a body is not a completion request.
var ErrBadRequest = errors.New("openai: not a completion request")

// A Message is one message of a chat; its content is text or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// A Request is what rockcleat reads of a completion request; the body is passed
// on as it came.
type Request struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   int             `json:"n"`
	Messages            []Message       `json:"messages"`
	Text                json.RawMessage `json:"prompt"`
}

// ParseRequest reads a completion request.
func ParseRequest(body []byte) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, eris.Wrap(ErrBadRequest, err.Error())
	}
	if r.Model == "" {
		return r, eris.Wrap(ErrBadRequest, "model is missing")
	}
	if r.MaxTokens < 0 || r.MaxCompletionTokens < 0 {
		return r, eris.Wrap(ErrBadRequest, "max_tokens is below 0")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	return r, nil
}

// Prompt returns the request's text, the messages of a chat one after another.
func (r Request) Prompt() string {
	if len(r.Messages) == 0 {
		return string(r.Text)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Estimates of a request's tokens.
const (
	// bytesPerToken is a rough ratio for estimating prompts.
	bytesPerToken = 4
	// defaultAnswer is the length, in tokens, expected of an answer with no maximum.
	defaultAnswer = 256
)

// PromptTokens estimates the length of the prompt.
func (r Request) PromptTokens() int { return len(r.Prompt()) / bytesPerToken }

// Cost returns the tokens that the request is expected to take.
func (r Request) Cost() int {
	answer := r.MaxTokens
	if answer == 0 {
		answer = defaultAnswer
	}
	return r.PromptTokens() + answer*max(r.N, 1)
}

// A Completion is a whole answer or one chunk of a stream.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// A Choice is one answer of a completion.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Content `json:"message,omitempty"`
	Delta        *Content `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content is the text of a chat answer.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// A Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Parent is the base of an adapter.
	Parent string `json:"parent,omitempty"`
}

// A ModelList is the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
