package dispatch

import "maps"

// How a model's prefill speed is followed; the times of an engine are those of
// docs/design/0009.
const (
	// initialSpeed is assumed of a model that has not been seen, in milliseconds a
	// token: 19.2 tokens a millisecond at today's engines.
	initialSpeed = 0.05
	// speedQuantile is the part of the samples that are to be faster than the speed
	// kept: a low one, since most samples hold waiting for other prompts too.
	speedQuantile = 0.25
	// speedStep is how much one sample moves the speed.
	speedStep = 0.1
	// minSampleTokens is the shortest prefill that shows the speed.
	minSampleTokens = 300
	// firstStepTime is the part of the time to first byte that is no prefill: one step.
	firstStepTime Milliseconds = 12.0
	// minSpeed bounds the speed from below, in milliseconds a token.
	minSpeed = 0.002
)

// A PrefillSample is one observation of how long a model took to prefill.
type PrefillSample struct {
	Model string `json:"m"`
	// MsPerToken is the time from a send to its first byte, less a step, by the length of what was
	// not cached of the prompt, in milliseconds a token.
	MsPerToken float64 `json:"t"`
}

// newPrefillSample returns the sample of one answer; it reports false if the prompt was too short to
// show the speed.
func newPrefillSample(model string, tokens int, firstByte Milliseconds) (PrefillSample, bool) {
	if tokens < minSampleTokens {
		return PrefillSample{}, false
	}
	return PrefillSample{Model: model, MsPerToken: float64(max(firstByte-firstStepTime, 0)) / float64(tokens)}, true
}

// PrefillSpeeds keeps each model's time to prefill one prompt token, in milliseconds.
//
// One gateway of many sees few samples of each model, and takes prompts for several times as long as
// they are, so that engines with free slots refuse requests. So gateways pass their samples to the leader, which learns from all of them and tells all.
//
// Its zero value is ready to use. It is not safe for concurrent use.
type PrefillSpeeds struct {
	byModel map[string]float64
}

// Of returns a model's speed, initialSpeed for one that has not been seen.
func (s *PrefillSpeeds) Of(model string) float64 {
	if v, ok := s.byModel[model]; ok {
		return v
	}
	return initialSpeed
}

// Known returns the speeds of the models that have been seen.
func (s *PrefillSpeeds) Known() map[string]float64 { return maps.Clone(s.byModel) }

// Set sets a model's speed.
func (s *PrefillSpeeds) Set(model string, speed float64) {
	if s.byModel == nil {
		s.byModel = make(map[string]float64)
	}
	s.byModel[model] = max(speed, minSpeed)
}

// Observe counts a sample. The speed follows a quantile of the samples: it falls by a large step and
// rises by a small one.
func (s *PrefillSpeeds) Observe(x PrefillSample) {
	v := s.Of(x.Model)
	if x.MsPerToken < v {
		v *= 1 - speedStep*(1-speedQuantile)
	} else {
		v *= 1 + speedStep*speedQuantile
	}
	s.Set(x.Model, v)
}

// prefillTime returns the time to prefill a number of tokens.
func (s *PrefillSpeeds) prefillTime(model string, tokens int) Milliseconds {
	return Milliseconds(s.Of(model) * float64(tokens))
}
