package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/table"
)

// uniformSpec returns the specification of n models of equal size.
func uniformSpec(n int) *table.EngineSpec {
	sizes := make([]float64, n)
	for i := range sizes {
		sizes[i] = 60
	}
	return spec(sizes...)
}

// listOrder returns the numbers from 0 to n-1.
func listOrder(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// trainedSuccession returns a Succession that has observed demand move along the list.
func trainedSuccession() *Succession {
	var s Succession
	for i := range 4 {
		s.Observe(uniformSpec(26), demandAt(listOrder(26), 2*i), nil)
	}
	return &s
}

// demandAt returns high demand for four consecutive models of an order, from a place on, and low demand for the
// others.
func demandAt(order []int, place int) map[string]Demand {
	out := make(map[string]Demand)
	for _, m := range order {
		out[fmt.Sprint("m", m)] = Demand{TokensPerSecond: 1}
	}
	for i, share := range []float64{500, 200, 150, 120} {
		out[fmt.Sprint("m", order[(place+i)%len(order)])] = Demand{TokensPerSecond: share}
	}
	return out
}

// TestSuccession checks the confidence after demand has moved through 26 models, two places at a time, in the order
// of the list and in another order.
func TestSuccession(t *testing.T) {
	along := listOrder(26)
	shuffled := rand.New(rand.NewPCG(1, 1)).Perm(26)
	tests := map[string]struct {
		order         []int
		shifts        int
		least, utmost float64
	}{
		"nothing seen":               {order: along, shifts: 0, least: 0, utmost: 0},
		"side by side in the list":   {order: along, shifts: 1, least: 0.6, utmost: 0.9},
		"moved along the list":       {order: along, shifts: 4, least: 0.8, utmost: 1},
		"another order":              {order: shuffled, shifts: 1, least: 0, utmost: 0.4},
		"moved on in another order":  {order: shuffled, shifts: 4, least: 0, utmost: 0.4},
		"moved far in another order": {order: shuffled, shifts: 12, least: 0, utmost: 0.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Succession
			for i := range test.shifts {
				s.Observe(uniformSpec(26), demandAt(test.order, 2*i), nil)
			}
			got := s.Confidence()
			assert.Assert(t, got >= test.least && got <= test.utmost, "%v", got)
		})
	}
}

func TestForecast(t *testing.T) {
	tests := map[string]struct {
		succession *Succession
		rise       []bool
	}{
		"no order known": {rise: []bool{false, true, false, false, false}},
		"a known order":  {succession: trainedSuccession(), rise: []bool{false, true, true, true, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := Forecast(uniformSpec(5), demands(0, 100, 0, 0, 0), nil, test.succession)
			for i, rise := range test.rise {
				assert.Equal(t, got[fmt.Sprint("m", i)].TokensPerSecond > 0, rise, "m%d", i)
			}
		})
	}
}

// TestForecastWithoutDemand checks that a forecast is based on replicas while no model has demand.
func TestForecastWithoutDemand(t *testing.T) {
	held := engines([]string{"m0"}, []string{"m0"}, []string{"m0", "m1"})
	got := Forecast(uniformSpec(4), nil, held, trainedSuccession())
	assert.Assert(t, got["m0"].TokensPerSecond > got["m1"].TokensPerSecond && got["m1"].TokensPerSecond > 0, "%v", got)
}

// TestObserveWithoutDemand checks that models that are loaded in the order of the list, without any demand, do
// not raise the confidence.
func TestObserveWithoutDemand(t *testing.T) {
	var s Succession
	engines := make([]EngineView, 12)
	for m := range 26 {
		for i := range 3 {
			e := &engines[(m+i)%len(engines)]
			e.Residents = append(e.Residents, backend.Resident{Model: fmt.Sprint("m", m)})
		}
		s.Observe(uniformSpec(26), nil, engines)
	}
	assert.Equal(t, s.Confidence(), 0.0)
}
