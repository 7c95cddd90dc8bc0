package dispatch

import "maps"

// Parameters of the prefill speed estimate; the engine times are those of docs/design/0009.
const (
	// initialSpeed is the speed assumed for a model without samples, in milliseconds per token.
	// Present engines prefill 19.2 tokens per millisecond.
	initialSpeed = 0.05
	// speedQuantile is the quantile of the samples that the estimate follows. It is low because
	// most samples include time spent waiting for other prompts.
	speedQuantile = 0.25
	// speedStepSize is the relative step by which a sample moves the estimate.
	speedStepSize = 0.1
	// minSampleTokens is the minimum length of a prefill, in tokens, that is used as a sample.
	minSampleTokens = 300
	// firstDecodeTime is the part of the time to first byte that is not prefill: one decoding step.
	firstDecodeTime Milliseconds = 12.0
	// minSpeed is the lower bound of the estimate, in milliseconds per token.
	minSpeed = 0.002
)

// A PrefillSample is one measurement of a model's prefill speed.
type PrefillSample struct {
	Model string `json:"m"`
	// MsPerToken is the time to first byte, less one decoding step, divided by the length of the
	// uncached part of the prompt, in milliseconds per token.
	MsPerToken float64 `json:"t"`
}

// newPrefillSample returns the sample of one response. The result is false if the prefill was too
// short to be used.
func newPrefillSample(model string, tokens int, firstByte Milliseconds) (PrefillSample, bool) {
	if tokens < minSampleTokens {
		return PrefillSample{}, false
	}
	return PrefillSample{Model: model, MsPerToken: float64(max(firstByte-firstDecodeTime, 0)) / float64(tokens)}, true
}

// PrefillSpeeds estimates the prefill speed of each model, in milliseconds per prompt token.
//
// A single gateway sees too few samples of each model for an accurate estimate. Gateways therefore
// send their samples to the leader, which distributes the speeds estimated from all of them.
//
// Its zero value is ready to use. It is not safe for concurrent use.
type PrefillSpeeds struct {
	byModel map[string]float64
}

// Get returns the speed of a model in milliseconds per token, or initialSpeed if there are no
// samples.
func (s *PrefillSpeeds) Get(model string) float64 {
	if v, ok := s.byModel[model]; ok {
		return v
	}
	return initialSpeed
}

// All returns the speeds of all models that have been observed or set.
func (s *PrefillSpeeds) All() map[string]float64 { return maps.Clone(s.byModel) }

// Set sets the speed of a model in milliseconds per token.
func (s *PrefillSpeeds) Set(model string, speed float64) {
	if s.byModel == nil {
		s.byModel = make(map[string]float64)
	}
	s.byModel[model] = max(speed, minSpeed)
}

// Observe updates the estimate with a sample. A sample below the estimate lowers it by a large
// step, any other raises it by a small one, so that it converges to the speedQuantile of the
// samples.
func (s *PrefillSpeeds) Observe(x PrefillSample) {
	v := s.Get(x.Model)
	if x.MsPerToken < v {
		v *= 1 - speedStepSize*(1-speedQuantile)
	} else {
		v *= 1 + speedStepSize*speedQuantile
	}
	s.Set(x.Model, v)
}

// prefillTime returns the time to prefill the given number of tokens.
func (s *PrefillSpeeds) prefillTime(model string, tokens int) Milliseconds {
	return Milliseconds(s.Get(model) * float64(tokens))
}
