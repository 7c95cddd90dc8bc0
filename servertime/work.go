package servertime

// Parameters of a decoding step (docs/design/0009).
const (
	// initialStepTime is the base step time that is assumed for a model without samples, in milliseconds.
	initialStepTime = 10.5
	// stepGrowth is the relative increase of the step time with each request that shares the step: 0.2 ms of 10.5 ms.
	stepGrowth = 0.2 / 10.5
	// referencePrefill is the prefill time of a token in milliseconds of the model in whose prompt tokens engine time can
	// be expressed. Present engines prefill 19.2 tokens per millisecond.
	referencePrefill = 0.05
)

// Speeds are the speeds of a model on an engine.
type Speeds struct {
	// PrefillMsPerToken is the prefill time in milliseconds per prompt token.
	PrefillMsPerToken float64
	// StepMs is the base step time in milliseconds: that of a step without the time that running requests add.
	StepMs float64
	// Sharing is the number of requests that share a step. A value below 1 counts as 1. Demand is comparable between
	// models only if they are given the same value: a model whose engines are nearly idle would appear expensive, since
	// few requests share its steps.
	Sharing float64
}

// RequestTime returns the engine time of a request in milliseconds: its prefill time and its part of the decoding
// steps, one for each output token. Lengths are in tokens.
func (s Speeds) RequestTime(prompt int, output float64) float64 {
	sharing := max(s.Sharing, 1)
	return float64(prompt)*s.PrefillMsPerToken + output*s.StepMs*loadFactor(sharing)/sharing
}

// loadFactor returns the duration of a step that a number of requests share, relative to the base step time.
func loadFactor(sharing float64) float64 { return 1 + stepGrowth*sharing }

// FromPromptTokens returns the engine time in milliseconds of work that is measured in prompt tokens of a model with
// the given prefill time in milliseconds per token.
func FromPromptTokens(tokens, prefillMsPerToken float64) float64 { return tokens * prefillMsPerToken }

// ReferenceTokens returns the number of prompt tokens of a model of the reference speed that take an engine time in
// milliseconds. It is the common unit of demand in plans.
func ReferenceTokens(ms float64) float64 { return ms / referencePrefill }

// FromReferenceTokens is the inverse of ReferenceTokens.
func FromReferenceTokens(tokens float64) float64 { return tokens * referencePrefill }
