package table

import (
	"cmp"
	"time"
)

// A Kind says what a row names.
type Kind string

// The kinds of rows.
const (
	KindModel   Kind = "model"
	KindAdapter Kind = "adapter"
	KindService Kind = "service"
)

// A Tier is a paying tier.
type Tier string

// The paying tiers, the first served best.
const (
	TierPremium  Tier = "premium"
	TierStandard Tier = "standard"
	TierEconomy  Tier = "economy"
)

// Tiers lists the paying tiers in their order.
var Tiers = []Tier{TierPremium, TierStandard, TierEconomy}

// Kinds lists the kinds of rows.
var Kinds = []Kind{KindModel, KindAdapter, KindService}

// Factors by which a tier's rows weigh more than an economy row of equal weight, without a
// unit.
const (
	// premiumFactor is that of the premium tier.
	premiumFactor = 16
	// standardFactor is that of the standard tier.
	standardFactor = 4
	// economyFactor is that of the economy tier.
	economyFactor = 1
)

// Factor returns the tier's part in a row's weight, without a unit.
func (t Tier) Factor() int {
	switch t {
	case TierPremium:
		return premiumFactor
	case TierStandard:
		return standardFactor
	}
	return economyFactor
}

// A Row is one line of the operators' table.
type Row struct {
	// Name is the model, adapter or service that callers name.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Base is the model that an adapter extends.
	Base string `json:"base,omitempty"`
	// Organisation is the paying organisation that the row serves; its column, key and
	// metric label are customer.
	Organisation string `json:"customer,omitempty"`
	Tier         Tier   `json:"tier"`
	// Weight orders rows of one tier: twice the weight, twice the tokens under load.
	Weight int `json:"weight"`
	// Share is the greatest part, in percent, of a backend server's slots that the
	// row may hold; 100 is no limit.
	Share int `json:"share"`
	// Concurrency is the greatest number of requests running at once; 0 is no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// QueueTime is the longest time that a request may wait before it runs.
	QueueTime time.Duration `json:"queue_time"`
	// Path is the prefix of the paths that a plain service answers.
	Path string `json:"path,omitempty"`
	// Version is the table version that last changed the row; it is set by Apply.
	Version uint64 `json:"version,omitempty"`
}

// EffectiveWeight returns the row's weight multiplied by its tier's factor.
func (r Row) EffectiveWeight() int { return max(r.Weight, 1) * r.Tier.Factor() }

// sameSettings reports whether two rows differ in nothing but their version.
func (r Row) sameSettings(o Row) bool {
	r.Version, o.Version = 0, 0
	return r == o
}

func compareNames(a, b Row) int { return cmp.Compare(a.Name, b.Name) }
