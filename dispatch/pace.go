package dispatch

// A Pace tells what pauses a stream bears.
type GapBudget struct {
	// Pause is the longest pause between two events, in milliseconds; 0 is no limit.
	MaxGap float64 `json:"p"`
	// Steps is the number of steps that an engine takes for one event.
	StepsPerEvent int `json:"s"`
}

// What an engine's steps take, in milliseconds.
const (
	// pauseShare is the part of the longest pause that is used.
	gapShare = 0.93
	// baseStep is what a step takes without reading, stepPerRun what each running
	// request adds to it.
	baseStep   = 10.5
	stepPerRun = 0.2
	// leastReading is the shortest reading in one step below which engines would
	// stand idle.
	minPrefillPerStep = 50.0
)

// reading returns how long an engine with a number of running requests may read
// prompts within one pause, in milliseconds.
func (p GapBudget) prefillPerGap(running int) float64 {
	steps := float64(max(p.StepsPerEvent, 1))
	return max(p.MaxGap*gapShare-steps*(baseStep+stepPerRun*float64(running)), steps*minPrefillPerStep)
}

// perStep returns the part of the reading that falls to one step.
func (p GapBudget) prefillPerStep(running int) float64 {
	return p.prefillPerGap(running) / float64(max(p.StepsPerEvent, 1))
}
