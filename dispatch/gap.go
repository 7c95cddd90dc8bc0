package dispatch

import "time"

// Milliseconds is an estimated time in milliseconds, as a real number: estimates are sums
// and products of measured speeds, and go between gateways as numbers.
type Milliseconds float64

// Duration returns the estimate as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// InMilliseconds returns a duration as an estimate.
func InMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// A GapBudget bounds the time between two events of a stream.
type GapBudget struct {
	// MaxGap is the longest time between two events; 0 is no limit.
	MaxGap Milliseconds `json:"p"`
	// StepsPerEvent is the number of decoding steps that an engine takes for one event.
	StepsPerEvent int `json:"s"`
}

// How an engine spends the time between two events of a stream. The times of a step are those
// of docs/design/0009.
const (
	// gapShare is the part of the longest gap that is used; the rest is for the network.
	gapShare = 0.93
	// baseStep is the time of a decoding step without prefill.
	baseStep Milliseconds = 10.5
	// stepPerRequest is the time that each running request adds to a step.
	stepPerRequest Milliseconds = 0.2
	// minPrefillPerStep is the prefill in one step that is allowed in any case, so that
	// engines do not idle between prompts. More than a gap has room for makes streams
	// pause too long.
	minPrefillPerStep Milliseconds = 25.0
)

// prefillPerGap returns how long an engine with a number of running requests may prefill
// within one gap.
func (g GapBudget) prefillPerGap(running int) Milliseconds {
	steps := Milliseconds(max(g.StepsPerEvent, 1))
	decoding := steps * (baseStep + stepPerRequest*Milliseconds(running))
	return max(g.MaxGap*gapShare-decoding, steps*minPrefillPerStep)
}

// prefillPerStep returns the part of the prefill that falls to one step.
func (g GapBudget) prefillPerStep(running int) Milliseconds {
	return g.prefillPerGap(running) / Milliseconds(max(g.StepsPerEvent, 1))
}
