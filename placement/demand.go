package placement

import (
	"math"
	"time"
)

// Levels of demand.
const (
	// levelFactor is the ratio between two neighbouring demand levels.
	levelFactor = 1.3
	// levelUnit is the demand of level 1, in busy slots.
	levelUnit = 0.1
)

// LevelOf returns the level of a demand in busy slots; 0 is none.
func LevelOf(slots float64) int {
	if slots < levelUnit {
		return 0
	}
	return 1 + int(math.Round(math.Log(slots/levelUnit)/math.Log(levelFactor)))
}

// DemandOf returns the demand, in busy slots, that a level stands for.
func DemandOf(level int) float64 {
	if level <= 0 {
		return 0
	}
	return levelUnit * math.Pow(levelFactor, float64(level-1))
}

// An Estimator follows a demand: it rises at once with what is observed and decays with a
// half-life.
//
// Its zero value has observed nothing.
type Estimator struct {
	value float64
	at    time.Time
}

// Observe counts the slots busy or asked for now.
func (e *Estimator) Observe(slots float64, halfLife time.Duration, now time.Time) {
	e.value = max(slots, e.Value(halfLife, now))
	e.at = now
}

// Value returns the demand as of now.
func (e *Estimator) Value(halfLife time.Duration, now time.Time) float64 {
	if e.at.IsZero() {
		return 0
	}
	return e.value * math.Exp2(-now.Sub(e.at).Seconds()/halfLife.Seconds())
}
