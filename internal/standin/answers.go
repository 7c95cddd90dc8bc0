package standin

import "rockcleat/internal/openai"

// newChunk returns one chunk of a streamed response. An empty finish leaves the finish reason out.
func newChunk(r openai.Request, text, finish string) openai.Completion {
	c := openai.Choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "chat.completion.chunk"
	if len(r.Messages) == 0 {
		object = "text_completion"
		c.Text = text
	} else {
		c.Delta = &openai.ResponseMessage{Content: text}
	}
	return openai.Completion{ID: "cmpl", Object: object, Model: r.Model, Choices: []openai.Choice{c}}
}

// newCompletion returns a complete, non-streaming response.
func newCompletion(r openai.Request, text string, tokens int) openai.Completion {
	finish := "length"
	c := openai.Choice{FinishReason: &finish}
	object := "chat.completion"
	if len(r.Messages) == 0 {
		object = "text_completion"
		c.Text = text
	} else {
		c.Message = &openai.ResponseMessage{Role: "assistant", Content: text}
	}
	prompt := r.EstimatePromptTokens()
	usage := &openai.Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	return openai.Completion{ID: "cmpl", Object: object, Model: r.Model, Choices: []openai.Choice{c}, Usage: usage}
}
