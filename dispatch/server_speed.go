package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"rockcleat/backend"
	"rockcleat/serverspeed"
)

const (
	// samplesPerSecond is the number of samples of servers' speeds that this gateway sends per second, about 50 bytes
	// each; samplesBurst is the most that one report contains.
	samplesPerSecond = 4
	samplesBurst     = 8
	// maxPendingServerSamples is the maximum number of samples kept for the next reports.
	maxPendingServerSamples = 32
	// workBatch is the number of requests of a plain server whose median is one sample. The times of single requests
	// differ by as much as servers do.
	workBatch = 15
	// minPauses and maxPauses bound the number of pauses from which a stream's sample is computed. The latest count.
	minPauses = 8
	maxPauses = 32
	// pauseQuantile is the quantile of a stream's pauses that is its sample. It is low because engines prefill other
	// prompts between two events.
	pauseQuantile = 0.25
	// minStepTime is the shortest pause per step, in milliseconds, that counts. Shorter ones are between events that
	// have waited in a buffer.
	minStepTime = 0.5
	// slowRun is the number of successive pauses that must be long for a server to count as slow at the moment.
	slowRun = 3
	// stepTimeWeight is the weight of a stream in this gateway's estimate of a model's step time, and maxStepChange
	// the largest change of the estimate's logarithm that a stream is counted with.
	stepTimeWeight = 0.2
	maxStepChange  = 0.5
	// maxStepTimes is the maximum number of models whose step times are kept.
	maxStepTimes = 1024
)

// serverSpeeds holds what this gateway knows of the speeds of servers. All methods accept a nil receiver, which learns
// nothing.
type serverSpeeds struct {
	table serverspeed.Table
	// pending holds the latest sample of each server and kind. sentAt holds when a sample of each server was last sent:
	// those of rarely used servers go first.
	pending []serverspeed.Sample
	sentAt  map[string]time.Time
	// allowance is the number of samples that may be sent at allowedAt.
	allowance float64
	allowedAt time.Time
	// stepTimes holds the time per decoding step of each model on an idle engine with factor 1, in milliseconds, as
	// estimated from this gateway's streams.
	stepTimes map[string]float64
	// work holds the times of the last requests of each plain server, in milliseconds.
	work map[string][]float64
}

func newServerSpeeds(learn bool) *serverSpeeds {
	if !learn {
		return nil
	}
	return &serverSpeeds{
		allowance: samplesBurst, sentAt: make(map[string]time.Time), stepTimes: make(map[string]float64), work: make(map[string][]float64),
	}
}

// factor returns the time that a server takes now relative to the median server; 1 if that is not known.
func (s *serverSpeeds) factor(server string, now time.Time) float64 {
	if s == nil {
		return 1
	}
	return s.table.Factor(server, now)
}

// retain drops the servers that are not listed any more.
func (s *serverSpeeds) retain(servers *backend.Snapshot) {
	if s == nil {
		return
	}
	s.table.Retain(servers.Has)
	maps.DeleteFunc(s.work, func(id string, _ []float64) bool { return !servers.Has(id) })
	maps.DeleteFunc(s.sentAt, func(id string, _ time.Time) bool { return !servers.Has(id) })
}

// add adds a sample, with three significant digits, and replaces an earlier one of the same server and kind.
func (s *serverSpeeds) add(x serverspeed.Sample) {
	if x.Value <= 0 {
		return
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(x.Value)))
	x.Value = math.Round(x.Value*scale) / scale
	i := slices.IndexFunc(s.pending, func(p serverspeed.Sample) bool { return p.Server == x.Server && p.Kind == x.Kind })
	switch {
	case i >= 0:
		s.pending[i] = x
	case len(s.pending) < maxPendingServerSamples:
		s.pending = append(s.pending, x)
	}
}

// take removes and returns the samples that may be sent now.
func (s *serverSpeeds) take(now time.Time) []serverspeed.Sample {
	s.allowance = min(s.allowance+now.Sub(s.allowedAt).Seconds()*samplesPerSecond, samplesBurst)
	s.allowedAt = now
	n := min(int(s.allowance), len(s.pending))
	if n == 0 {
		return nil
	}
	s.allowance -= float64(n)
	slices.SortStableFunc(s.pending, func(a, b serverspeed.Sample) int { return s.sentAt[a.Server].Compare(s.sentAt[b.Server]) })
	out := slices.Clone(s.pending[:n])
	s.pending = slices.Delete(s.pending, 0, n)
	for _, x := range out {
		s.sentAt[x.Server] = now
	}
	return out
}

// learnStepTime updates the step time of a model with the sample of a stream. factor is that of the stream's server.
func (s *serverSpeeds) learnStepTime(model string, value, factor float64) {
	value /= factor
	known, ok := s.stepTimes[model]
	switch {
	case ok:
		change := math.Log(value / known)
		s.stepTimes[model] = known * math.Exp(stepTimeWeight*max(min(change, maxStepChange), -maxStepChange))
	case len(s.stepTimes) < maxStepTimes:
		s.stepTimes[model] = value
	}
}

// TakeServerSamples returns the samples of servers' speeds for the next report, at most samplesBurst.
func (d *Dispatcher) TakeServerSamples() []serverspeed.Sample {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serverSpeeds == nil {
		return nil
	}
	return d.serverSpeeds.take(d.opts.Clock.Now())
}

// SetServerFactors sets the factors that the leader has published, by server ID. complete means that servers that are
// not listed have the factor 1.
func (d *Dispatcher) SetServerFactors(factors map[string]float64, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.serverSpeeds == nil:
	case complete:
		d.serverSpeeds.table.Replace(factors)
	default:
		d.serverSpeeds.table.Set(factors)
	}
}

// ServerFactors returns the published factors that this gateway uses, by server ID.
func (d *Dispatcher) ServerFactors() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serverSpeeds == nil {
		return nil
	}
	return d.serverSpeeds.table.Published()
}

// streamPauses holds the latest pauses of a stream, in milliseconds per decoding step on an engine without other
// requests.
type streamPauses struct {
	lastEvent time.Time
	steps     [maxPauses]float32
	count     int
	// slow holds the last pauses while no prompt was known to be prefilled.
	slow [slowRun]float64
	// observed counts the pauses in slow.
	observed int
}

// quantile returns the pauseQuantile of the pauses, and false if there are too few.
func (p *streamPauses) quantile() (ms float64, ok bool) {
	if p.count < minPauses {
		return 0, false
	}
	sorted := slices.Clone(p.steps[:min(p.count, maxPauses)])
	slices.Sort(sorted)
	return float64(sorted[int(pauseQuantile*float64(len(sorted)))]), true
}

// recordEvent records an event of a stream. d.mu must be held.
func (r *Reservation) recordEvent(now time.Time) {
	speeds := r.d.serverSpeeds
	if speeds == nil || r.req.Model == "" || r.released {
		return
	}
	if r.pauses == nil {
		r.pauses = &streamPauses{}
	}
	p := r.pauses
	pause := InMilliseconds(now.Sub(p.lastEvent))
	isFirst := p.lastEvent.IsZero()
	p.lastEvent = now
	ms := float64(pause / r.req.Gap.steps())
	if isFirst || ms < minStepTime {
		return
	}
	running := r.load.Running + r.d.remote[r.server.ID].Running
	ms *= float64(baseStepTime / (baseStepTime + stepTimePerRequest*Milliseconds(running)))
	p.steps[p.count%maxPauses] = float32(ms)
	p.count++
	r.observeGap(ms, pause, now)
}

// observeGap updates the server's short-term factor with a pause that no prefill of another prompt explains.
// d.mu must be held.
func (r *Reservation) observeGap(ms float64, pause Milliseconds, now time.Time) {
	p, speeds := r.pauses, r.d.serverSpeeds
	prefilling := r.d.remote[r.server.ID].PrefillMs > 0 || len(r.load.awaitingFirstByte) > 0 ||
		r.load.prefill.busyWithin(0, pause.Duration(), now) > 0
	expected, known := speeds.stepTimes[r.req.Model]
	if prefilling || !known {
		p.observed = 0
		return
	}
	p.slow[p.observed%slowRun] = ms
	p.observed++
	if p.observed >= slowRun {
		speeds.table.ObserveGap(r.server.ID, slices.Min(p.slow[:])/(expected*speeds.table.PublishedFactor(r.server.ID)), now)
	}
}

// recordStream records the sample of a stream that is complete. d.mu must be held.
func (r *Reservation) recordStream() {
	if r.pauses == nil {
		return
	}
	if ms, ok := r.pauses.quantile(); ok {
		speeds := r.d.serverSpeeds
		speeds.learnStepTime(r.req.Model, ms, speeds.table.PublishedFactor(r.server.ID))
		speeds.add(serverspeed.Sample{Server: r.server.ID, Model: r.req.Model, Kind: serverspeed.Step, Value: ms})
	}
}

// separatePrefill records a prefill sample for the server, unless the prompt had to wait for others, and returns the
// sample for the model, without the server's factor. d.mu must be held.
func (r *Reservation) separatePrefill(x PrefillSample) PrefillSample {
	speeds := r.d.serverSpeeds
	if speeds == nil {
		return x
	}
	if r.candidate.PrefillAhead == 0 {
		speeds.add(serverspeed.Sample{Server: r.server.ID, Model: x.Model, Kind: serverspeed.Prefill, Value: x.MsPerToken})
	}
	x.MsPerToken /= speeds.table.PublishedFactor(r.server.ID)
	return x
}

// recordWork records the time of a request to a plain server that had a free slot. d.mu must be held.
func (r *Reservation) recordWork(now time.Time) {
	speeds := r.d.serverSpeeds
	if speeds == nil || r.req.Model != "" || r.candidate.Running >= r.server.Slots {
		return
	}
	id := r.server.ID
	batch := append(speeds.work[id], float64(InMilliseconds(now.Sub(r.sentAt))))
	if len(batch) == workBatch {
		slices.Sort(batch)
		speeds.add(serverspeed.Sample{Server: id, Kind: serverspeed.Work, Value: batch[workBatch/2]})
		batch = batch[:0]
	}
	speeds.work[id] = batch
}
