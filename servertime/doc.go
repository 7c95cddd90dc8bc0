// Package servertime computes the engine time that requests need, so that the demand for models of different speeds is
// comparable.
//
// The engine time of a request is the time that an engine spends on its prompt plus the request's part of the decoding
// steps of its output. Speeds.RequestTime computes it from the model's prefill time per token, the model's step time
// and the number of requests that share a step. StepTimes learns the step time of each model from the pauses between
// the events of streams (Pauses). Outputs learns the length of outputs, since callers' estimates are often wrong and
// most outputs are shorter than their maximum.
//
// The package has no I/O and no clock. Its state, by model, is kept by each gateway: StepTimes is shared through the
// leader in the same way as the prefill speeds of package dispatch, Outputs is not shared. None of its types is safe
// for concurrent use.
//
// Times are in milliseconds, lengths in tokens.
package servertime
