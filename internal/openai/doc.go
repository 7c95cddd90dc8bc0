// Package openai holds the parts of the OpenAI-compatible API that rockcleat reads and writes:
// requests, answers, chunks of a stream and the list of models.
//
// It owns the form of these messages and the estimate of a request's tokens. The body of a request
// is passed on as it came; only what is read of it stands here. ErrBadRequest is the kind of all
// errors.
package openai
