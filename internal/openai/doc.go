// Package openai defines the parts of the OpenAI-compatible API that rockcleat reads and writes:
// completion requests, responses, chunks of a stream and the list of models.
//
// It also estimates the number of tokens of a request. Request bodies are forwarded unchanged, so a
// Request has only the fields that rockcleat reads. All errors match ErrBadRequest.
package openai
