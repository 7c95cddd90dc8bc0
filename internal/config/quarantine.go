package config

import (
	"time"

	"rockcleat/quarantine"
)

// Quarantine contains the settings of the quarantine of requests with which backend servers have crashed.
type Quarantine struct {
	// Threshold is the number of server instances that must crash with a request before it is refused.
	Threshold int `yaml:"ends"`
	// Hold is how long the request is refused at first. It doubles with each further crash.
	Hold Duration `yaml:"hold"`
}

// Bounds of the quarantine settings.
const (
	// minCrashThreshold is above 1, because all requests that a server was running are suspected when it
	// crashes.
	minCrashThreshold = 2
	// maxCrashThreshold is the number of crashes that a record stores.
	maxCrashThreshold     = 8
	minQuarantineDuration = time.Second
	maxQuarantineDuration = 24 * time.Hour
)

func (q *Quarantine) setDefaults() {
	*q = Quarantine{Threshold: quarantine.DefaultCrashThreshold, Hold: Duration(quarantine.DefaultDuration)}
}

func (q *Quarantine) check(c *checker) {
	c.require(q.Threshold >= minCrashThreshold && q.Threshold <= maxCrashThreshold, "quarantine.ends", "must be from 2 to 8")
	c.requireBetween(q.Hold, minQuarantineDuration, maxQuarantineDuration, "quarantine.hold")
}
