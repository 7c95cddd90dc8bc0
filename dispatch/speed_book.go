package dispatch

// maxSamples bounds the samples that are kept until they are taken: some ten times what one gateway
// sees between two reports.
const maxSamples = 128

// A speedBook holds the speeds that one gateway reckons with: those that were learned from all
// gateways' samples, and its own as long as there are none.
type speedBook struct {
	PrefillSpeeds
	// shared names the models whose speeds were learned from all gateways.
	shared map[string]bool
	// samples are those that have not been taken yet.
	samples []PrefillSample
}

// note counts a sample of this gateway's own.
func (b *speedBook) note(x PrefillSample) {
	if len(b.samples) < maxSamples {
		b.samples = append(b.samples, x)
	}
	if !b.shared[x.Model] {
		b.Observe(x)
	}
}

// share sets speeds that were learned from all gateways.
func (b *speedBook) share(speeds map[string]float64) {
	if b.shared == nil {
		b.shared = make(map[string]bool)
	}
	for model, speed := range speeds {
		b.shared[model] = true
		b.Set(model, speed)
	}
}

// TakePrefillSamples returns the samples since the last call. What its caller loses only makes the
// speeds follow more slowly.
func (d *Dispatcher) TakePrefillSamples() []PrefillSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.speeds.samples
	d.speeds.samples = nil
	return samples
}

// SetPrefillSpeeds sets the speeds of models that were learned from all gateways' samples.
func (d *Dispatcher) SetPrefillSpeeds(speeds map[string]float64) {
	if len(speeds) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.share(speeds)
}

// PrefillSpeeds returns the speeds that this gateway reckons with.
func (d *Dispatcher) PrefillSpeeds() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.Known()
}
