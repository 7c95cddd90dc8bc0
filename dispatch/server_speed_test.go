package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
	"rockcleat/serverspeed"
)

// Parameters of the simulated engines and their load.
const (
	mixedGap     = 200 * time.Millisecond
	mixedSteps   = 6
	mixedEvents  = 12
	mixedTime    = 60 * time.Second
	mixedRate    = 70 // streams a second; 85 is more than the engines serve within the gap
	mixedLearned = 20 * time.Second
	mixedPrefill = 0.02 // ms per token
)

// A mixedStream is a stream that a simulated engine runs.
type mixedStream struct {
	reservation *dispatch.Reservation
	next, last  time.Time
	events      int
	late        bool
}

// A mixedEngine decodes one event of each stream in the time that its load and its factor take, and pauses while it
// prefills.
type mixedEngine struct {
	factor  float64
	streams []*mixedStream
	// prefillEnd is when all prompts are prefilled.
	prefillEnd time.Time
}

// decoding returns the time for one event.
func (e *mixedEngine) decoding() time.Duration {
	ms := mixedSteps * (10.5 + 0.2*float64(len(e.streams))) * e.factor
	return time.Duration(ms * float64(time.Millisecond))
}

// begin starts a stream: its prompt delays all streams of the engine.
func (e *mixedEngine) begin(res *dispatch.Reservation, tokens int, now time.Time) {
	prefill := time.Duration(mixedPrefill * float64(tokens) * e.factor * float64(time.Millisecond))
	if e.prefillEnd.Before(now) {
		e.prefillEnd = now
	}
	e.prefillEnd = e.prefillEnd.Add(prefill)
	for _, s := range e.streams {
		s.next = s.next.Add(prefill)
	}
	e.streams = append(e.streams, &mixedStream{reservation: res, next: e.prefillEnd.Add(12 * time.Millisecond)})
}

// step sends the events that are due and returns the numbers of streams that ended and of those that were late.
func (e *mixedEngine) step(now time.Time) (ended, late int) {
	rest := e.streams[:0]
	for _, s := range e.streams {
		if s.next.After(now) {
			rest = append(rest, s)
			continue
		}
		s.reservation.RecordFirstByte()
		s.late = s.late || !s.last.IsZero() && now.Sub(s.last) > mixedGap
		s.last, s.next = now, now.Add(e.decoding())
		s.events++
		if s.events < mixedEvents {
			rest = append(rest, s)
			continue
		}
		s.reservation.Done(dispatch.Succeeded)
		ended++
		if s.late {
			late++
		}
	}
	e.streams = rest
	return ended, late
}

// playMixed plays mixed engines under load and returns the streams that ended after mixedLearned, those of them that
// were late, those refused, and the last factors.
func playMixed(learn bool, factors ...float64) (ended, late, refused int, learned map[string]float64) {
	c := clocktest.New(time.Unix(1000, 0))
	var servers []backend.Server
	engines := make(map[string]*mixedEngine)
	for i, factor := range factors {
		s := engine(fmt.Sprint("e", i))
		s.Slots = 24
		servers = append(servers, s)
		engines[s.ID] = &mixedEngine{factor: factor}
	}
	d := dispatch.New(dispatch.Options{
		ID: "g", Hall: "h", Clock: c, Utilization: 0.92, CacheTokens: func(string) int { return 1 << 30 }, LearnSpeeds: learn,
	})
	d.SetServers(snapshot(servers...))
	d.SetPrefillSpeeds(map[string]float64{model: mixedPrefill})
	estimator := serverspeed.NewEstimator(func(string) (string, bool) { return service, true })
	version := int64(-1)
	random := rand.New(rand.NewPCG(1, 1))
	for elapsed := time.Duration(0); elapsed < mixedTime; elapsed += time.Millisecond {
		c.Advance(time.Millisecond)
		for _, s := range servers {
			n, slow := engines[s.ID].step(c.Now())
			if elapsed > mixedLearned {
				ended, late = ended+n, late+slow
			}
		}
		if random.Float64() < mixedRate/1000.0 {
			r := request(c)
			r.PromptTokens = 200 + random.IntN(1500)
			r.Gap = dispatch.GapBudget{MaxGap: dispatch.InMilliseconds(mixedGap), StepsPerEvent: mixedSteps}
			if res, err := d.Acquire(canceledContext(), r); err == nil {
				engines[res.Server().ID].begin(res, r.PromptTokens, c.Now())
			} else if elapsed > mixedLearned {
				refused++
			}
		}
		if elapsed%(160*time.Millisecond) == 0 {
			for _, x := range d.TakeServerSamples() {
				estimator.Observe(x)
			}
			var changed map[string]float64
			changed, version = estimator.ChangedSince(version)
			d.SetServerFactors(changed, false)
		}
	}
	return ended, late, refused, d.ServerFactors()
}

// TestMixedServers guards against equal treatment of engines of different speeds: with learned factors fewer streams
// exceed their gap, without refusing more of them.
func TestMixedServers(t *testing.T) {
	factors := []float64{0.6, 1, 1.6, 0.6, 1, 1.6}
	ended, late, refused, _ := playMixed(false, factors...)
	learnedEnded, learnedLate, learnedRefused, learned := playMixed(true, factors...)
	t.Logf("equal treatment: %d of %d late, %d refused; learned: %d of %d late, %d refused; %v",
		late, ended, refused, learnedLate, learnedEnded, learnedRefused, learned)
	assert.Assert(t, 2*learnedLate < late, "late: %d of %d, with equal treatment %d of %d", learnedLate, learnedEnded, late, ended)
	assert.Assert(t, learnedRefused <= refused, "refused: %d, with equal treatment %d", learnedRefused, refused)
}

// TestEqualServersAreServedAsBefore guards against any effect of the setting where all servers are equal.
func TestEqualServersAreServedAsBefore(t *testing.T) {
	factors := []float64{1, 1, 1, 1, 1, 1}
	ended, late, refused, _ := playMixed(false, factors...)
	learnedEnded, learnedLate, learnedRefused, learned := playMixed(true, factors...)
	assert.Equal(t, len(learned), 0, "%v", learned)
	assert.DeepEqual(t, []int{learnedEnded, learnedLate, learnedRefused}, []int{ended, late, refused})
}

// TestCandidateWithFactor guards against slow servers that bear as many requests as others, and against any difference
// at the factor 1.
func TestCandidateWithFactor(t *testing.T) {
	engineAt := func(factor float64, running int) dispatch.Candidate {
		return dispatch.Candidate{CacheTokens: cacheTokens, Slots: 24, Owned: true, SameHall: true, TimeFactor: factor, Running: running}
	}
	plain := func(factor float64, running int) dispatch.Candidate {
		return dispatch.Candidate{Slots: 6, SameHall: true, TimeFactor: factor, Running: running}
	}
	gap := dispatch.GapBudget{MaxGap: 200, StepsPerEvent: 8}
	tests := map[string]struct {
		list []dispatch.Candidate
		gap  dispatch.GapBudget
		want int
	}{
		"factor 1 is as none":                 {list: []dispatch.Candidate{engineAt(0, 10), engineAt(1, 10)}, want: 0},
		"slow engine has fewer slots":         {list: []dispatch.Candidate{engineAt(1.6, 15)}, want: -1},
		"slow engine with a usable slot":      {list: []dispatch.Candidate{engineAt(1.6, 14)}, want: 0},
		"fast engine has no more slots":       {list: []dispatch.Candidate{engineAt(0.5, 24)}, want: -1},
		"running requests weigh more":         {list: []dispatch.Candidate{engineAt(1.6, 10), engineAt(1, 15)}, want: 1},
		"engine that can keep the gap":        {list: []dispatch.Candidate{engineAt(2, 6), engineAt(1, 20)}, gap: gap, want: 1},
		"fast plain server":                   {list: []dispatch.Candidate{plain(1, 0), plain(0.4, 1)}, want: 1},
		"slow plain server, others busy":      {list: []dispatch.Candidate{plain(2, 0), plain(1, 2)}, want: 0},
		"slow plain server, another has room": {list: []dispatch.Candidate{plain(2, 0), plain(1, 0)}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, dispatch.Choose(test.list, dispatch.Limits{Utilization: 1, Gap: test.gap}), test.want)
		})
	}
}

// TestSamplesOfPlainServers guards against samples of single requests, of requests that waited, and against a number of
// samples that grows with the load.
func TestSamplesOfPlainServers(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := dispatch.New(dispatch.Options{ID: "g", Hall: "h", Clock: c, Utilization: 1, CacheTokens: func(string) int { return 0 }, LearnSpeeds: true})
	d.SetServers(snapshot(backend.Server{ID: "p", Service: "app", Hall: "h", Slots: 2}))
	serve := func(n, waiting int) {
		for range n {
			for range waiting {
				_, err := d.Acquire(canceledContext(), &dispatch.Request{Service: "app"})
				assert.NilError(t, err)
			}
			res, err := d.Acquire(canceledContext(), &dispatch.Request{Service: "app"})
			assert.NilError(t, err)
			c.Advance(30 * time.Millisecond)
			res.RecordFirstByte()
			res.Done(dispatch.Succeeded)
		}
	}
	serve(14, 0)
	assert.Equal(t, len(d.TakeServerSamples()), 0)
	serve(1, 0)
	assert.DeepEqual(t, d.TakeServerSamples(), []serverspeed.Sample{{Server: "p", Kind: serverspeed.Work, Value: 30}})
	serve(3000, 0)
	assert.Equal(t, len(d.TakeServerSamples()), 1, "the latest one")
	serve(30, 2)
	assert.Equal(t, len(d.TakeServerSamples()), 0)
}
