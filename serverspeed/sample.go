package serverspeed

import (
	"math"
	"slices"
)

// A Kind is what a sample measures.
type Kind int

// The kinds of samples.
const (
	// Step is the time of an engine for one decoding step.
	Step Kind = iota
	// Prefill is the time of an engine to prefill one token.
	Prefill
	// Work is the time of a plain server for one request.
	Work
)

// A Sample is one observation of a server.
type Sample struct {
	Server string `json:"s"`
	// Model is empty for a plain service.
	Model string `json:"m,omitempty"`
	Kind  Kind   `json:"k,omitempty"`
	// Value is a time in milliseconds per step, token or request, as expected without other requests at the server.
	Value float64 `json:"v"`
}

const (
	// windowSize is the number of samples that a window keeps. A server that changes its speed is seen after half as
	// many samples.
	windowSize = 32
	// minSpread is the lower bound of the standard deviation of a logarithmic sample. Few samples can agree by chance.
	minSpread = 0.2
	// modelError is the standard deviation of what the estimate does not describe, such as the mix of prompts.
	modelError = 0.05
	// location is the quantile of the samples that stands for a window. It is low because disturbances and waiting for
	// other requests only lengthen times: more than two thirds of the samples have to be disturbed to change it.
	location = 0.3
	// locationError is the ratio of the standard errors of this quantile and of the mean of a normal distribution.
	locationError = 1.32
	// The difference between the quantiles median and lower, divided by spreadWidth, is the standard deviation of a
	// normal distribution.
	median, lower = 0.5, 0.1
	spreadWidth   = 1.2816
)

// A window holds the logarithms of the last samples of one level at one server.
type window struct {
	values [windowSize]float32
	// count is the number of samples ever added, lastUse the sequence number of the last one.
	count   int
	lastUse int64
	// value, a low quantile, and precision, the inverse of its variance, summarise values if isCurrent is set.
	value, precision float64
	isCurrent        bool
}

// add adds a sample and drops the oldest one if the window is full.
func (w *window) add(value float64, sequence int64) {
	w.values[w.count%windowSize] = float32(math.Log(value))
	w.count++
	w.lastUse = sequence
	w.isCurrent = false
}

// len returns the number of samples in the window.
func (w *window) len() int { return min(w.count, windowSize) }

// summarise computes the value of the window and its precision.
func (w *window) summarise() {
	if w.isCurrent {
		return
	}
	sorted := slices.Clone(w.values[:w.len()])
	slices.Sort(sorted)
	w.value = quantile(sorted, location)
	deviation := max((quantile(sorted, median)-quantile(sorted, lower))/spreadWidth, minSpread)
	variance := locationError * locationError * deviation * deviation / float64(len(sorted))
	w.precision = 1 / (variance + modelError*modelError)
	w.isCurrent = true
}

// quantile returns a quantile of a sorted list that is not empty, by linear interpolation.
func quantile[T float32 | float64](sorted []T, q float64) float64 {
	position := q * float64(len(sorted)-1)
	i := int(position)
	next := min(i+1, len(sorted)-1)
	return float64(sorted[i]) + (position-float64(i))*float64(sorted[next]-sorted[i])
}
