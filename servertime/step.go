package servertime

import (
	"maps"
	"math"
)

// Parameters of the step time estimate.
const (
	// adjustment is the relative change of the estimate by one sample. Samples above and below change it by the same
	// factor, so that it converges to their median: servers differ in speed in both directions, and the time spent on
	// other prompts is already excluded by pauseQuantile. With 0.05 the estimate strayed by a fifth where servers run at
	// 0.6, 1 and 1.6 times the usual speed.
	adjustment = 0.03
	// minStepTime and maxStepTime bound the estimate in milliseconds, so that malformed samples cannot make a model
	// appear free or make all other demand vanish.
	minStepTime = 0.5
	maxStepTime = 500
)

// A StepSample is one measurement of a model's step time.
type StepSample struct {
	Model string `json:"m"`
	// Ms is the base step time in milliseconds.
	Ms float64 `json:"t"`
}

// NewStepSample returns the sample of one stream from its typical pause between two events in milliseconds, the number
// of steps between two events and the number of requests that shared the steps. ok is false if there was no pause.
func NewStepSample(model string, pauseMs float64, stepsPerEvent int, sharing float64) (s StepSample, ok bool) {
	if pauseMs <= 0 {
		return StepSample{}, false
	}
	ms := pauseMs / float64(max(stepsPerEvent, 1)) / loadFactor(max(sharing, 1))
	// Two decimals are more precise than the estimate and keep reports short.
	return StepSample{Model: model, Ms: math.Round(100*ms) / 100}, true
}

// StepTimes estimates the base step time of each model in milliseconds. Its zero value is ready to use.
type StepTimes struct {
	byModel map[string]float64
}

// Get returns the base step time of a model in milliseconds, or that of present engines if there are no samples.
func (t *StepTimes) Get(model string) float64 {
	if ms, ok := t.byModel[model]; ok {
		return ms
	}
	return initialStepTime
}

// Known returns the base step time of a model in milliseconds, and false if there are no samples.
func (t *StepTimes) Known(model string) (ms float64, ok bool) {
	ms, ok = t.byModel[model]
	return ms, ok
}

// All returns the base step times of all models that have been observed or set, in milliseconds.
func (t *StepTimes) All() map[string]float64 { return maps.Clone(t.byModel) }

// Set sets the base step time of a model in milliseconds.
func (t *StepTimes) Set(model string, ms float64) {
	if t.byModel == nil {
		t.byModel = make(map[string]float64)
	}
	t.byModel[model] = min(max(ms, minStepTime), maxStepTime)
}

// Observe adjusts the estimate by a sample.
func (t *StepTimes) Observe(s StepSample) {
	ms := t.Get(s.Model)
	if s.Ms < ms {
		t.Set(s.Model, ms/(1+adjustment))
		return
	}
	t.Set(s.Model, ms*(1+adjustment))
}
