package serverspeed

import (
	"maps"
	"math"
	"slices"
)

// priorPrecision is the precision of a server's factor before anything is known.
const priorPrecision = 1 / (effectDeviation * effectDeviation)

// fit fits the levels and the servers' factors to all windows and updates the factors in use. It alternates between
// levels and factors, each time with the weighted mean of the differences from the other.
func (e *Estimator) fit() {
	e.dropIdle()
	for _, s := range e.servers {
		for _, w := range s.windows {
			w.summarise()
		}
	}
	for range sweeps {
		e.fitLevels()
		for _, s := range e.servers {
			e.fitServer(s)
		}
	}
	medians := e.medians()
	for _, s := range e.servers {
		e.update(s, s.effect-medians[s.service])
	}
}

// dropIdle drops the samples of servers that have had none for maxIdleFits.
func (e *Estimator) dropIdle() {
	for _, s := range e.servers {
		s.idleFits++
		if s.idleFits > maxIdleFits && (s.factor != 1 || len(s.windows) > 0) {
			clear(s.windows)
			s.prior, s.effect, s.factor = 0, 0, 1
			e.publish(s)
		}
	}
}

// fitLevels computes each level from the servers' factors, and drops the levels without a window.
func (e *Estimator) fitLevels() {
	for _, l := range e.levels {
		*l = level{}
	}
	for _, s := range e.servers {
		for key, w := range s.windows {
			l := e.levels[key]
			if l == nil {
				l = &level{}
				e.levels[key] = l
			}
			l.sum += w.precision * (w.value - s.effect)
			l.precision += w.precision
			l.servers++
		}
	}
	maps.DeleteFunc(e.levels, func(_ levelKey, l *level) bool { return l.servers == 0 })
	for _, l := range e.levels {
		l.value = l.sum / l.precision
	}
}

// fitServer computes a server's factor from the levels. A level of this server alone says nothing about it. The
// precision of a level leaves out what this server contributes to it.
func (e *Estimator) fitServer(s *serverState) {
	sum, weight := priorPrecision*s.prior, priorPrecision
	s.samples, s.precision = 0, 0
	for key, w := range s.windows {
		l := e.levels[key]
		if l.servers < 2 {
			continue
		}
		sum += w.precision * (w.value - l.value)
		weight += w.precision
		s.samples += w.len()
		s.precision += 1 / (1/w.precision + 1/(l.precision-w.precision))
	}
	s.effect = sum / weight
}

// medians returns the median factor of the servers of each service that have samples. Those with few samples count as
// well: they are often the slow ones, which are avoided.
func (e *Estimator) medians() map[string]float64 {
	effects := make(map[string][]float64)
	for _, s := range e.servers {
		if s.samples > 0 {
			effects[s.service] = append(effects[s.service], s.effect)
		}
	}
	out := make(map[string]float64, len(effects))
	for service, list := range effects {
		slices.Sort(list)
		out[service] = quantile(list, median)
	}
	return out
}

// update updates the factor in use of a server from its estimate, a logarithm.
func (e *Estimator) update(s *serverState, estimate float64) {
	if s.samples < minSamples {
		return
	}
	distance := math.Abs(estimate)
	isDistinct := distance >= math.Log(minFactor) && distance*math.Sqrt(s.precision) >= minErrors
	if isDistinct || s.factor != 1 && distance >= math.Log(endFactor) {
		s.factor = math.Exp(estimate)
	} else {
		s.factor = 1
	}
	e.publish(s)
}

// publish publishes a server's factor, with two decimals, under a new version if it has changed enough.
func (e *Estimator) publish(s *serverState) {
	crosses := (s.published == 1) != (s.factor == 1)
	if !crosses && math.Abs(s.factor-s.published) < minPublishedChange*s.published {
		return
	}
	e.version++
	s.published, s.changedIn = math.Round(s.factor*100)/100, e.version
}
