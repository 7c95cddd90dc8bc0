package openai

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBadRequest tells that a body is not a completion request.
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

// bytesPerToken is a rough ratio for estimating prompts.
const bytesPerToken = 4

// defaultAnswer is the length, in tokens, expected of an answer with no maximum.
const defaultAnswer = 256

// Cost returns the tokens that the request is expected to take.
func (r Request) Cost() int {
	answer := r.MaxTokens
	if answer == 0 {
		answer = defaultAnswer
	}
	return len(r.Prompt())/bytesPerToken + answer*max(r.N, 1)
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

// Chunk returns one chunk of a streamed answer; finish is its finish reason, if any.
func Chunk(r Request, text, finish string) Completion {
	c := Choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "chat.completion.chunk"
	if len(r.Messages) == 0 {
		object = "text_completion"
		c.Text = text
	} else {
		c.Delta = &Content{Content: text}
	}
	return Completion{ID: "cmpl", Object: object, Model: r.Model, Choices: []Choice{c}}
}

// Whole returns an answer that is not streamed.
func Whole(r Request, text string, tokens int) Completion {
	finish := "length"
	c := Choice{FinishReason: &finish}
	object := "chat.completion"
	if len(r.Messages) == 0 {
		object = "text_completion"
		c.Text = text
	} else {
		c.Message = &Content{Role: "assistant", Content: text}
	}
	prompt := len(r.Prompt()) / bytesPerToken
	usage := &Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	return Completion{ID: "cmpl", Object: object, Model: r.Model, Choices: []Choice{c}, Usage: usage}
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
