package dispatch

import (
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/servertime"
)

// Limits on the samples of step times. Step times change slowly, and every sample takes 35 bytes of a report.
const (
	// stepSampleInterval is the minimum time between two samples of a gateway.
	stepSampleInterval = 500 * time.Millisecond
	// maxPendingStepSamples is the maximum number of samples kept between two calls of TakeStepSamples.
	maxPendingStepSamples = 16
)

// A serverTimeBook holds what this gateway needs to compute the engine time of requests.
type serverTimeBook struct {
	steps   servertime.StepTimes
	outputs servertime.Outputs
	// shared contains the models whose step times were estimated from all gateways' samples.
	shared map[string]bool
	// pending holds this gateway's samples since the last call of TakeStepSamples, lastSample is the time of the last one.
	pending    []servertime.StepSample
	lastSample time.Time
}

// addSample records a sample of this gateway. It updates the model's step time only if no shared one is known.
func (b *serverTimeBook) addSample(x servertime.StepSample, now time.Time) {
	if !b.shared[x.Model] {
		b.steps.Observe(x)
	}
	if len(b.pending) >= maxPendingStepSamples || now.Sub(b.lastSample) < stepSampleInterval {
		return
	}
	b.pending = append(b.pending, x)
	b.lastSample = now
}

// IsCounted reports whether a server has a known number of slots of at most maxSlots.
func IsCounted(s *backend.Server, maxSlots int) bool { return s.Slots > 0 && s.Slots <= maxSlots }

// HasCountedServers reports whether IsCounted holds for all servers of a service, so that they are admitted by exact count
// and the demand for them is measured in engine time. It returns false if the list is empty.
func HasCountedServers(list []*backend.Server, maxSlots int) bool {
	return len(list) > 0 && !slices.ContainsFunc(list, func(s *backend.Server) bool { return !IsCounted(s, maxSlots) })
}

// countedSlots returns the largest number of slots of a service's servers if HasCountedServers holds, or 0. d.mu must be
// held.
func (d *Dispatcher) countedSlots(service string) int {
	slots, ok := d.slots[service]
	if !ok {
		if list := d.servers.Service(service); HasCountedServers(list, d.opts.MaxCountedSlots) {
			for _, s := range list {
				slots = max(slots, s.Slots)
			}
		}
		d.slots[service] = slots
	}
	return slots
}

// engineTime returns the engine time of a request in milliseconds, or 0 if the demand for its service is measured in
// tokens. All models of a service are given the same number of requests that share a step, whatever their servers run now
// (servertime.Speeds.Sharing). d.mu must be held.
func (d *Dispatcher) engineTime(r *Request) float64 {
	slots := d.countedSlots(r.Service)
	if slots == 0 {
		return 0
	}
	b := &d.serverTime
	speeds := servertime.Speeds{
		PrefillMsPerToken: d.speeds.Get(r.Model), StepMs: b.steps.Get(r.Model), Sharing: d.opts.Utilization * float64(slots),
	}
	return speeds.RequestTime(r.PromptTokens, b.outputs.Expect(r.Model, r.OutputEstimate, r.MaxOutputTokens))
}

// RecordStream records a complete stream: the number of tokens that it has delivered and the pauses between its events.
// It must be called before Done. It does nothing for services whose demand is measured in tokens.
func (r *Reservation) RecordStream(tokens int, pauses *servertime.Pauses) {
	d := r.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.released || r.req.Model == "" || d.countedSlots(r.req.Service) == 0 {
		return
	}
	b := &d.serverTime
	b.outputs.Observe(r.req.Model, r.req.OutputEstimate, r.req.MaxOutputTokens, tokens)
	if x, ok := servertime.NewStepSample(r.req.Model, pauses.Typical(), r.req.Gap.StepsPerEvent, r.sharing()); ok {
		b.addSample(x, d.opts.Clock.Now())
	}
}

// sharing returns the number of requests that shared the engine's steps: the mean of those when the request was sent and
// those now. d.mu must be held.
func (r *Reservation) sharing() float64 {
	now := r.load.Running + r.d.remote[r.server.ID].Running
	return float64(r.candidate.Running+1+now) / 2
}

// TakeStepSamples returns the step time samples recorded since the last call. Losing them only makes the estimates
// follow more slowly.
func (d *Dispatcher) TakeStepSamples() []servertime.StepSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.serverTime.pending
	d.serverTime.pending = nil
	return samples
}

// SetStepTimes sets the base step times estimated from all gateways' samples, by model, in milliseconds.
func (d *Dispatcher) SetStepTimes(times map[string]float64) {
	if len(times) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := &d.serverTime
	if b.shared == nil {
		b.shared = make(map[string]bool)
	}
	for model, ms := range times {
		b.shared[model] = true
		b.steps.Set(model, ms)
	}
}

// StepTimes returns the base step times that this gateway uses, by model, in milliseconds.
func (d *Dispatcher) StepTimes() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serverTime.steps.All()
}

// stepTimeAt returns the base step time of the slowest model that an engine holds, or 0 if none is known. Its streams share
// the steps. d.mu must be held.
func (d *Dispatcher) stepTimeAt(s *backend.Server) Milliseconds {
	longest := 0.0
	for _, r := range s.Residents {
		if ms, ok := d.serverTime.steps.Known(r.Model); ok {
			longest = max(longest, ms)
		}
	}
	return Milliseconds(longest)
}
