package dispatch

// Following of a model's reading speed.
const (
	// firstSpeed is assumed of a model that has not been seen, in milliseconds a token.
	initialSpeed = 0.05
	// speedQuantile is the part of the samples that are to be faster than the speed
	// kept: a low one, since most samples hold waiting for other prompts too.
	speedQuantile = 0.25
	// speedStep is how much one sample moves the speed.
	speedStep = 0.1
	// fewTokens is the shortest reading that tells the speed.
	minSampleTokens = 300
	// stepTime is the part of a first event's time that is no reading, in milliseconds.
	firstStepTime = 12.0
	// fastestSpeed bounds the speed from below.
	fastestSpeed = 0.002
)

// speeds keeps each model's time to read one prompt token, in milliseconds.
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

// reading returns the time to read a number of tokens, in milliseconds.
func (s *prefillSpeeds) prefillTime(model string, tokens int) float64 {
	return s.of(model) * float64(tokens)
}

// note takes the time from a send to its first event, in milliseconds.
func (s *prefillSpeeds) observe(model string, tokens int, ms float64) {
	if tokens < minSampleTokens {
		return
	}
	if s.byModel == nil {
		s.byModel = make(map[string]float64)
	}
	v := s.of(model)
	if sample := max(ms-firstStepTime, 0) / float64(tokens); sample < v {
		v *= 1 - speedStep*(1-speedQuantile)
	} else {
		v *= 1 + speedStep*speedQuantile
	}
	s.byModel[model] = max(v, fastestSpeed)
}
