package dispatch

// How a model's prefill speed is followed (docs/MEASUREMENTS.md, P4); the times of an
// engine are those of docs/design/0009.
const (
	// initialSpeed is assumed of a model that has not been seen, in milliseconds a
	// token: 19.2 tokens a millisecond at today's engines.
	initialSpeed = 0.05
	// speedQuantile is the part of the samples that are to be faster than the speed
	// kept: a low one, since most samples hold waiting for other prompts too.
	speedQuantile = 0.25
	// speedStep is how much one sample moves the speed. Chosen, not measured.
	speedStep = 0.1
	// minSampleTokens is the shortest prefill that shows the speed. Chosen, not measured.
	minSampleTokens = 300
	// firstStepTime is the part of the time to first byte that is no prefill: one step.
	firstStepTime Milliseconds = 12.0
	// minSpeed bounds the speed from below, in milliseconds a token. Chosen, not measured.
	minSpeed = 0.002
)

// prefillSpeeds keeps each model's time to prefill one prompt token, in milliseconds.
//
// Its zero value is ready to use.
type prefillSpeeds struct {
	byModel map[string]float64
}

func (s *prefillSpeeds) of(model string) float64 {
	if v, ok := s.byModel[model]; ok {
		return v
	}
	return initialSpeed
}

// prefillTime returns the time to prefill a number of tokens.
func (s *prefillSpeeds) prefillTime(model string, tokens int) Milliseconds {
	return Milliseconds(s.of(model) * float64(tokens))
}

// observe counts a sample: the time from a send to its first byte. The speed follows a
// quantile of the samples: it falls by a large step and rises by a small one.
func (s *prefillSpeeds) observe(model string, tokens int, firstByte Milliseconds) {
	if tokens < minSampleTokens {
		return
	}
	if s.byModel == nil {
		s.byModel = make(map[string]float64)
	}
	v := s.of(model)
	if sample := float64(max(firstByte-firstStepTime, 0)) / float64(tokens); sample < v {
		v *= 1 - speedStep*(1-speedQuantile)
	} else {
		v *= 1 + speedStep*speedQuantile
	}
	s.byModel[model] = max(v, minSpeed)
}
