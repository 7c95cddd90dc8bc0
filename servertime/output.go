package servertime

import "math/bits"

// Parameters of the expected output.
const (
	// priorWeight is the weight, in samples, of the assumption that estimates are right and outputs are as long as their
	// maximum.
	priorWeight = 4
	// maxWeight is the number of samples over which the means are taken at most, so that they follow changes.
	maxWeight = 64
	// maxRatio bounds the ratio of an output to its estimate, so that one stream with an absurdly low estimate does not
	// change the expectation of all others.
	maxRatio = 8
	// estimateClasses is the number of classes of estimates. A class spans a factor of four; the first ends at 64
	// tokens. Low and high estimates are wrong in different directions.
	estimateClasses = 4
	// firstClassBits is the number of bits of the highest estimate in the first class.
	firstClassBits = 6
)

// Outputs learns, for each model, how long outputs are in relation to callers' estimates and to their maximum. Its zero
// value is ready to use.
type Outputs struct {
	byModel map[string]*modelOutputs
}

// A modelOutputs holds the means of one model.
type modelOutputs struct {
	// ratios holds the ratio of outputs to their estimates by class of the estimate, fraction the ratio of outputs to
	// their maximum.
	ratios   [estimateClasses]ratio
	fraction ratio
}

// A ratio is a moving mean of ratios that starts at 1.
type ratio struct {
	// difference is the mean minus 1, so that the zero value is a mean of 1.
	difference, samples float64
}

func (r *ratio) mean() float64 { return 1 + r.difference }

func (r *ratio) observe(x float64) {
	r.samples = min(r.samples+1, maxWeight)
	r.difference += (min(x, maxRatio) - r.mean()) / (priorWeight + r.samples)
}

// classOf returns the class of an estimate in tokens.
func classOf(estimate int) int {
	return min(max(bits.Len(uint(estimate))-firstClassBits+1, 0)/2, estimateClasses-1)
}

// Observe records the length of a complete output. estimate is the caller's estimate and limit the maximum; 0 means
// that there was none. Lengths are in tokens.
func (o *Outputs) Observe(model string, estimate, limit, actual int) {
	m := o.byModel[model]
	if m == nil {
		if o.byModel == nil {
			o.byModel = make(map[string]*modelOutputs)
		}
		m = &modelOutputs{}
		o.byModel[model] = m
	}
	if estimate > 0 {
		m.ratios[classOf(estimate)].observe(float64(actual) / float64(estimate))
	}
	if limit > 0 {
		m.fraction.observe(float64(actual) / float64(limit))
	}
}

// Expect returns the expected length of an output: the caller's estimate times the mean ratio of outputs with such
// estimates or, without an estimate, the maximum times the mean fraction of it that outputs have. It is at most the
// maximum. Lengths are in tokens; 0 means that there is no estimate or no maximum.
func (o *Outputs) Expect(model string, estimate, limit int) float64 {
	m := o.byModel[model]
	if m == nil {
		m = &modelOutputs{}
	}
	expected := float64(limit) * m.fraction.mean()
	if estimate > 0 {
		expected = float64(estimate) * m.ratios[classOf(estimate)].mean()
	}
	if limit > 0 {
		expected = min(expected, float64(limit))
	}
	return expected
}
