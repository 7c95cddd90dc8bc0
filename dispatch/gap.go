package dispatch

import "time"

// Milliseconds is an estimated duration in milliseconds. It is a floating-point number because
// estimates are computed from measured rates and gateways exchange them as JSON numbers.
type Milliseconds float64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// InMilliseconds converts a time.Duration to Milliseconds.
func InMilliseconds(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// A GapBudget limits the time between two events of a response stream.
type GapBudget struct {
	// MaxGap is the maximum time between two events; 0 means no limit.
	MaxGap Milliseconds `json:"p"`
	// StepsPerEvent is the number of decoding steps per event.
	StepsPerEvent int `json:"s"`
}

// Parameters of the time that an engine spends between two events of a stream (docs/design/0009).
const (
	// engineGapShare is the fraction of MaxGap available to the engine; the rest is left for the
	// network.
	engineGapShare = 0.93
	// baseStepTime is the duration of a decoding step without prefill, before stepTimePerRequest is
	// added.
	baseStepTime Milliseconds = 10.5
	// stepTimePerRequest is the time that each running request adds to a decoding step.
	stepTimePerRequest Milliseconds = 0.2
	// minPrefillPerStep is the prefill time per decoding step that is allowed even if it exceeds
	// the gap budget, so that engines do not idle between prompts. A larger value lengthens the
	// pauses of streams.
	minPrefillPerStep Milliseconds = 25.0
)

// decodingTime returns the time that an engine with the given number of running requests takes to decode one event.
func (g GapBudget) decodingTime(running int) Milliseconds {
	return g.steps() * (baseStepTime + stepTimePerRequest*Milliseconds(running))
}

// steps returns the number of decoding steps per event, at least 1.
func (g GapBudget) steps() Milliseconds { return Milliseconds(max(g.StepsPerEvent, 1)) }
