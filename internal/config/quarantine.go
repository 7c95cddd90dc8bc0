package config

import (
	"time"

	"rockcleat/quarantine"
)

// Quarantine contains the settings of the quarantine of requests under which backend servers have ended.
type Quarantine struct {
	// Ends is the number of servers that have to end under copies of a request before it is refused.
	Ends int `yaml:"ends"`
	// Hold is how long the request is refused at first. It doubles with each further server that ends.
	Hold Duration `yaml:"hold"`
}

// Bounds of the quarantine settings.
const (
	// minQuarantineEnds is above 1, because one server's end affects every request that it was running.
	minQuarantineEnds = 2
	// maxQuarantineEnds is the number of ends that a record stores.
	maxQuarantineEnds = 8
	minQuarantineHold = time.Second
	maxQuarantineHold = 24 * time.Hour
)

func (q *Quarantine) setDefaults() {
	*q = Quarantine{Ends: quarantine.DefaultEnds, Hold: Duration(quarantine.DefaultHold)}
}

func (q *Quarantine) check(c *checker) {
	c.require(q.Ends >= minQuarantineEnds && q.Ends <= maxQuarantineEnds, "quarantine.ends", "must be from 2 to 8")
	c.requireBetween(q.Hold, minQuarantineHold, maxQuarantineHold, "quarantine.hold")
}
