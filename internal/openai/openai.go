package openai

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBadRequest means that a body is not a valid completion request.
var ErrBadRequest = errors.New("openai: not a completion request")

// A Message is one message of a chat.
type Message struct {
	Role string `json:"role"`
	// Content is a string or an array of content parts.
	Content json.RawMessage `json:"content"`
}

// A Request holds the fields of a completion request that rockcleat reads.
type Request struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens is the maximum number of generated tokens, 0 if the request has none.
	// ParseRequest sets it to MaxCompletionTokens if it is missing.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// N is the number of choices to generate. 0 means 1.
	N int `json:"n"`
	// Messages is set in chat completion requests.
	Messages []Message `json:"messages"`
	// Text is the prompt of a text completion request.
	Text json.RawMessage `json:"prompt"`
}

// ParseRequest decodes and validates the body of a completion request.
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

// Prompt returns the JSON text of the prompt, or the roles and contents of all messages of a chat.
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

// Parameters of token estimates.
const (
	// bytesPerToken is a rough average for prompts.
	bytesPerToken = 4
	// defaultCompletionTokens is the expected number of generated tokens if the request has no maximum.
	defaultCompletionTokens = 256
)

// PromptTokens returns an estimate of the number of tokens in the prompt.
func (r Request) PromptTokens() int { return len(r.Prompt()) / bytesPerToken }

// Cost returns an estimate of the total number of tokens, prompt and completions.
func (r Request) Cost() int {
	completionTokens := r.MaxTokens
	if completionTokens == 0 {
		completionTokens = defaultCompletionTokens
	}
	return r.PromptTokens() + completionTokens*max(r.N, 1)
}

// A Completion is a complete response or one chunk of a stream.
type Completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is in Unix seconds.
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// A Choice is one of the alternatives in a completion.
type Choice struct {
	Index int `json:"index"`
	// Message is set in a complete chat response, Delta in a chunk of a chat stream.
	Message *Content `json:"message,omitempty"`
	Delta   *Content `json:"delta,omitempty"`
	// Text is set in text completions.
	Text string `json:"text,omitempty"`
	// FinishReason is nil until the choice is complete.
	FinishReason *string `json:"finish_reason"`
}

// Content is a generated chat message or a part of one.
type Content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// A Model is one entry of a ModelList.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	// Created is in Unix seconds.
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	// Parent is the base model of an adapter.
	Parent string `json:"parent,omitempty"`
}

// A ModelList is the response to a request for the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}
