package config

import (
	"time"

	"rockcleat/quarantine"
)

// Quarantine are the settings of the quarantine of requests under which backend servers end.
type Quarantine struct {
	// Ends is the number of servers that may end under copies of one request before it is refused.
	Ends int `yaml:"ends"`
	// Hold is how long it is refused at first; each further end doubles that.
	Hold Duration `yaml:"hold"`
}

// Bounds of these settings.
const (
	// minQuarantineEnds is the least number of ends: with one, every request that runs at a server when it
	// ends would be refused.
	minQuarantineEnds = 2
	// maxQuarantineEnds is the number of ends that a record keeps.
	maxQuarantineEnds = 8
	// minQuarantineHold and maxQuarantineHold bound the time.
	minQuarantineHold = time.Second
	maxQuarantineHold = 24 * time.Hour
)

func (q *Quarantine) setDefaults() {
	*q = Quarantine{Ends: quarantine.DefaultEnds, Hold: Duration(quarantine.DefaultHold)}
}

func (q *Quarantine) check(c *checker) {
	c.require(q.Ends >= minQuarantineEnds && q.Ends <= maxQuarantineEnds, "quarantine.ends", "must be from 2 to 8")
	c.between(q.Hold, minQuarantineHold, maxQuarantineHold, "quarantine.hold")
}
