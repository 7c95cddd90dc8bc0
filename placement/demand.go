package placement

import (
	"math"
	"time"
)

// Parameters of the logarithmic scale of demand levels.
const (
	// levelFactor is the ratio between the demands of two successive levels.
	levelFactor = 1.3
	// levelUnit is the demand of level 1, in busy slots.
	levelUnit = 0.1
)

// LevelOf returns the level nearest to a demand in busy slots; 0 means no demand.
func LevelOf(slots float64) int {
	if slots < levelUnit {
		return 0
	}
	return 1 + int(math.Round(math.Log(slots/levelUnit)/math.Log(levelFactor)))
}

// DemandOf returns the demand of a level, in busy slots.
func DemandOf(level int) float64 {
	if level <= 0 {
		return 0
	}
	return levelUnit * math.Pow(levelFactor, float64(level-1))
}

// An Estimator estimates demand from observations. The estimate rises at once to a higher observation and
// otherwise decays exponentially.
//
// The zero value has no observations.
type Estimator struct {
	value float64
	at    time.Time
}

// Observe records the number of slots that are busy or requested now.
func (e *Estimator) Observe(slots float64, halfLife time.Duration, now time.Time) {
	e.value = max(slots, e.Value(halfLife, now))
	e.at = now
}

// Value returns the estimated demand at the time now, in busy slots.
func (e *Estimator) Value(halfLife time.Duration, now time.Time) float64 {
	if e.at.IsZero() {
		return 0
	}
	return e.value * math.Exp2(-now.Sub(e.at).Seconds()/halfLife.Seconds())
}
