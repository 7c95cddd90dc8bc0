package dispatch

// maxSamples is the maximum number of samples kept between two calls of TakePrefillSamples. Further
// samples are dropped.
const maxSamples = 128

// A speedBook holds the prefill speeds that this gateway uses: for each model the speed estimated
// from all gateways' samples, or else from its own.
type speedBook struct {
	PrefillSpeeds
	// shared contains the models whose speeds were estimated from all gateways' samples.
	shared map[string]bool
	// samples holds this gateway's samples since the last call of TakePrefillSamples.
	samples []PrefillSample
}

// note records a sample of this gateway. It updates the model's speed only if no shared one is
// known.
func (b *speedBook) note(x PrefillSample) {
	if len(b.samples) < maxSamples {
		b.samples = append(b.samples, x)
	}
	if !b.shared[x.Model] {
		b.Observe(x)
	}
}

// share sets speeds that were estimated from all gateways' samples.
func (b *speedBook) share(speeds map[string]float64) {
	if b.shared == nil {
		b.shared = make(map[string]bool)
	}
	for model, speed := range speeds {
		b.shared[model] = true
		b.Set(model, speed)
	}
}

// TakePrefillSamples returns the samples recorded since the last call. Losing them only makes the
// estimates follow more slowly.
func (d *Dispatcher) TakePrefillSamples() []PrefillSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.speeds.samples
	d.speeds.samples = nil
	return samples
}

// SetPrefillSpeeds sets the speeds estimated from all gateways' samples, by model, in milliseconds
// per token.
func (d *Dispatcher) SetPrefillSpeeds(speeds map[string]float64) {
	if len(speeds) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.speeds.share(speeds)
}

// PrefillSpeeds returns the prefill speeds that this gateway uses, by model, in milliseconds per
// token.
func (d *Dispatcher) PrefillSpeeds() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.Known()
}
