// Package openai holds the parts of the OpenAI-compatible API that rockcleat
// reads and writes: requests, answers, chunks of a stream and the list of models.
package openai
