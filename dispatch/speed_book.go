package dispatch

// maxPendingSamples is the maximum number of samples kept between two calls of TakePrefillSamples.
// Further samples are dropped.
const maxPendingSamples = 128

// speedEstimates holds the prefill speeds that this gateway uses: for each model the speed
// estimated from all gateways' samples, or else the one estimated from its own.
type speedEstimates struct {
	PrefillSpeeds
	// shared contains the models whose speeds were estimated from all gateways' samples.
	shared map[string]bool
	// pendingSamples holds this gateway's samples since the last call of TakePrefillSamples.
	pendingSamples []PrefillSample
}

// addSample records a sample of this gateway. It updates the model's speed only if no shared one is
// known.
func (e *speedEstimates) addSample(x PrefillSample) {
	if len(e.pendingSamples) < maxPendingSamples {
		e.pendingSamples = append(e.pendingSamples, x)
	}
	if !e.shared[x.Model] {
		e.Observe(x)
	}
}

// setShared sets speeds that were estimated from all gateways' samples.
func (e *speedEstimates) setShared(speeds map[string]float64) {
	if e.shared == nil {
		e.shared = make(map[string]bool)
	}
	for model, speed := range speeds {
		e.shared[model] = true
		e.Set(model, speed)
	}
}

// TakePrefillSamples returns the samples recorded since the last call. Losing them only makes the
// estimates follow more slowly.
func (d *Dispatcher) TakePrefillSamples() []PrefillSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.speeds.pendingSamples
	d.speeds.pendingSamples = nil
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
	d.speeds.setShared(speeds)
}

// PrefillSpeeds returns the prefill speeds that this gateway uses, by model, in milliseconds per
// token.
func (d *Dispatcher) PrefillSpeeds() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.speeds.Known()
}
