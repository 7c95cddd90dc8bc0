package servertime

import "slices"

// Parameters of the typical pause of a stream.
const (
	// pauseQuantile is the quantile of a stream's pauses that is its typical one. It is low because an engine pauses
	// streams while it prefills other prompts.
	pauseQuantile = 0.25
	// minPauses is the number of pauses below which a stream has no typical one.
	minPauses = 8
	// maxPauses is the number of pauses that are kept of a stream. It is even.
	maxPauses = 32
)

// Pauses collects the pauses between the events of one stream. It keeps at most maxPauses of them, spread evenly over
// the stream. Its zero value is ready to use.
type Pauses struct {
	kept  [maxPauses]float32
	count int
	// stride is the number of pauses for each one that is kept, skipped the number left out since the last one kept.
	stride, skipped int
}

// Add adds a pause in milliseconds.
func (p *Pauses) Add(ms float64) {
	p.skipped++
	if p.skipped < p.stride {
		return
	}
	if p.count == maxPauses {
		p.halve()
	}
	p.kept[p.count] = float32(ms)
	p.count++
	p.skipped = 0
}

// halve drops every second pause and doubles the stride.
func (p *Pauses) halve() {
	for i := range maxPauses / 2 {
		p.kept[i] = p.kept[2*i]
	}
	p.count = maxPauses / 2
	p.stride = 2 * max(p.stride, 1)
}

// Typical returns the typical pause in milliseconds, or 0 if there were too few.
func (p *Pauses) Typical() float64 {
	if p.count < minPauses {
		return 0
	}
	sorted := slices.Sorted(slices.Values(p.kept[:p.count]))
	return float64(sorted[int(pauseQuantile*float64(p.count))])
}
