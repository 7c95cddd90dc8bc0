package serverspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/serverspeed"
)

// A fleet generates samples of servers. Each server is slower by disturbance for 600 ms, during which it yields two
// samples, on 15 % of the time.
type fleet struct {
	random   *rand.Rand
	factors  []float64
	disturbs []int
	models   int
	// spread is the standard deviation of the logarithm of undisturbed samples.
	spread float64
}

const (
	disturbance      = 2.5
	disturbedSamples = 2
	disturbedShare   = 0.15
)

func newFleet(seed uint64, factors ...float64) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), factors: factors, disturbs: make([]int, len(factors)), models: busyModels + len(factors), spread: 0.1,
	}
}

func name(i int) string { return fmt.Sprint("s", i) }

// busyModels is the number of models that have a replica on every fourth server or so.
const busyModels = 4

// model returns the model of a sample of a server. Half of the samples are of one of busyModels busy models, the others
// of one of two models that the server shares with its neighbours.
func (f *fleet) model(server int) int {
	if f.random.IntN(2) == 0 {
		return (server * 7 / 3) % busyModels % f.models
	}
	return (busyModels + server + f.random.IntN(2)) % f.models
}

// sample returns a sample of a server. Model i takes 1+i%4 times as long as model 0.
func (f *fleet) sample(server int) serverspeed.Sample {
	if f.disturbs[server] == 0 && f.random.Float64() < disturbedShare/disturbedSamples/(1-disturbedShare) {
		f.disturbs[server] = disturbedSamples
	}
	model := f.model(server)
	value := 10 * float64(1+model%4) * f.factors[server] * math.Exp(f.spread*f.random.NormFloat64())
	if f.disturbs[server] > 0 {
		f.disturbs[server]--
		value *= disturbance
	}
	return serverspeed.Sample{Server: name(server), Model: fmt.Sprint("m", model), Value: value}
}

// observe lets the estimator see n samples of each server.
func (f *fleet) observe(e *serverspeed.Estimator, n int) {
	for range n {
		for server := range f.factors {
			e.Observe(f.sample(server))
		}
	}
}

func newEstimator() *serverspeed.Estimator {
	return serverspeed.NewEstimator(func(string) (string, bool) { return "llm", true })
}

func repeat(factors []float64, n int) []float64 {
	var list []float64
	for range n {
		list = append(list, factors...)
	}
	return list
}

// TestFactorsConverge guards against estimates that follow short disturbances or mistake models for servers.
func TestFactorsConverge(t *testing.T) {
	tests := map[string]struct {
		factors []float64
		models  int
	}{
		"plain servers":            {factors: []float64{0.4, 1, 1, 2}, models: 1},
		"engines":                  {factors: repeat([]float64{0.6, 1, 1.6}, 18)},
		"engines of four speeds":   {factors: repeat([]float64{0.4, 1, 1, 2}, 5)},
		"equal engines":            {factors: repeat([]float64{1}, 54)},
		"three servers, one model": {factors: []float64{0.6, 1, 1.6}, models: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(seed, test.factors...)
				if test.models > 0 {
					f.models = test.models
				}
				e := newEstimator()
				f.observe(e, 100)
				checkFactors(t, e, f)
			}
		})
	}
}

func checkFactors(t *testing.T, e *serverspeed.Estimator, f *fleet) {
	t.Helper()
	for i, want := range f.factors {
		got := e.Factor(name(i))
		assert.Assert(t, math.Abs(got-want) < 0.15*want, "server %d: %v, want %v", i, got, want)
	}
}

// TestEqualServersHaveFactorOne guards against factors that change decisions in a fleet of equal servers: at no time
// does one of them get a factor.
func TestEqualServersHaveFactorOne(t *testing.T) {
	f := newFleet(1, repeat([]float64{1}, 60)...)
	e := newEstimator()
	for range 400 {
		f.observe(e, 1)
		changed, _ := e.ChangedSince(-1)
		assert.Equal(t, len(changed), 0, "%v", changed)
	}
}

// TestSlowModelIsNoSlowServer guards against blaming the servers that hold a slow model, and the only server of one.
func TestSlowModelIsNoSlowServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factors := rapid.SliceOfN(rapid.Float64Range(1, 20), 4, 12).Draw(t, "model")
		e := newEstimator()
		for range 60 {
			for server := range 6 {
				for m, factor := range factors {
					if m == 0 && server > 0 {
						continue // only server 0 holds model 0
					}
					e.Observe(serverspeed.Sample{Server: name(server), Model: fmt.Sprint(m), Value: factor})
				}
			}
		}
		for server := range 6 {
			assert.Equal(t, e.Factor(name(server)), 1.0)
		}
	})
}

// TestFewSamplesChangeNothing guards against decisions on a few samples, however far off they are.
func TestFewSamplesChangeNothing(t *testing.T) {
	f := newFleet(1, 1, 1, 1, 1)
	f.models = 1
	e := newEstimator()
	f.observe(e, 100)
	for range 3 {
		e.Observe(serverspeed.Sample{Server: "new", Model: "m0", Value: 500})
		e.Observe(serverspeed.Sample{Server: name(0), Model: "m0", Value: 500})
	}
	f.observe(e, 40)
	assert.Equal(t, e.Factor("new"), 1.0)
	assert.Equal(t, e.Factor(name(0)), 1.0)
}

// TestValuesOfMessagesAreChecked guards against estimates that a malformed message makes infinite.
func TestValuesOfMessagesAreChecked(t *testing.T) {
	e := newEstimator()
	f := newFleet(1, 0.6, 1, 1.6)
	f.models = 1
	for range 100 {
		for _, value := range []float64{0, -1, math.Inf(1), math.NaN(), 1e300} {
			e.Observe(serverspeed.Sample{Server: name(0), Model: "m0", Value: value})
		}
		f.observe(e, 1)
	}
	checkFactors(t, e, f)
}

// TestRecoveredServer guards against a server that stays slow in the estimate because it is avoided: with a few samples
// it is found well again, and without any it is tried again.
func TestRecoveredServer(t *testing.T) {
	tests := map[string]struct{ every int }{
		"few samples": {every: 10},
		"none":        {every: math.MaxInt},
	}
	for testName, test := range tests {
		t.Run(testName, func(t *testing.T) {
			f := newFleet(1, 1, 1, 1, 3)
			f.models = 1
			e := newEstimator()
			f.observe(e, 100)
			assert.Assert(t, e.Factor(name(3)) > 2)
			_, version := e.ChangedSince(-1)
			f.factors[3] = 1
			for i := range 600 {
				for server := range 3 {
					e.Observe(f.sample(server))
				}
				if (i+1)%test.every == 0 {
					e.Observe(f.sample(3))
				}
			}
			assert.Equal(t, e.Factor(name(3)), 1.0)
			changed, _ := e.ChangedSince(version)
			assert.Equal(t, changed[name(3)], 1.0, "the end is published")
		})
	}
}

// TestLostSamples guards against an estimate that depends on which samples arrive.
func TestLostSamples(t *testing.T) {
	f := newFleet(3, repeat([]float64{0.6, 1, 1.6}, 6)...)
	e := newEstimator()
	for range 200 {
		for server := range f.factors {
			if x := f.sample(server); f.random.Float64() < 0.5 {
				e.Observe(x)
			}
		}
	}
	checkFactors(t, e, f)
}

// TestNewLeader guards against a change of the leader that loses factors or that gateways do not notice.
func TestNewLeader(t *testing.T) {
	f := newFleet(1, 0.6, 1, 1.6)
	f.models = 1
	old := newEstimator()
	old.BeginTerm(100, nil)
	f.observe(old, 100)
	known, version := old.ChangedSince(0)
	assert.Equal(t, len(known), 2)

	e := newEstimator()
	e.BeginTerm(200, known)
	all, _ := e.ChangedSince(version)
	assert.DeepEqual(t, all, known)
	f.observe(e, 5)
	assert.Equal(t, e.Factor(name(2)), known[name(2)], "a few samples of the new term change nothing")
	f.observe(e, 100)
	checkFactors(t, e, f)
	_, version = e.ChangedSince(0)
	none, _ := e.ChangedSince(version)
	assert.Equal(t, len(none), 0)
	e.Retain(func(server string) bool { return server != name(2) })
	assert.Equal(t, e.Factor(name(2)), 1.0)
}
