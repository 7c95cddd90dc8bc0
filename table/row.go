package table

import (
	"cmp"
	"time"
)

// A Kind is the type of object that a row configures.
type Kind string

// Kinds of rows.
const (
	KindModel   Kind = "model"
	KindAdapter Kind = "adapter"
	KindService Kind = "service"
)

// A Tier is a service tier that organisations pay for.
type Tier string

// Tiers in descending order of precedence.
const (
	TierPremium  Tier = "premium"
	TierStandard Tier = "standard"
	TierEconomy  Tier = "economy"
)

// Tiers lists the tiers in descending order of precedence.
var Tiers = []Tier{TierPremium, TierStandard, TierEconomy}

// Kinds lists all kinds of rows.
var Kinds = []Kind{KindModel, KindAdapter, KindService}

// Factors by which a tier multiplies the weight of a row.
const (
	premiumFactor  = 16
	standardFactor = 4
	economyFactor  = 1
)

// Factor returns the factor by which the tier multiplies the weight of a row, that of the
// economy tier if t is unknown.
func (t Tier) Factor() int {
	switch t {
	case TierPremium:
		return premiumFactor
	case TierStandard:
		return standardFactor
	}
	return economyFactor
}

// A Row configures one model, adapter or service.
type Row struct {
	// Name is the name by which callers request the model, adapter or service.
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Base is the name of the model that an adapter extends.
	Base string `json:"base,omitempty"`
	// Organisation is the organisation that pays for the row. Its table column, JSON key
	// and metric label are named customer.
	Organisation string `json:"customer,omitempty"`
	Tier         Tier   `json:"tier"`
	// Weight is the row's weight among rows of the same tier. Under load a row gets tokens
	// in proportion to its weight.
	Weight int `json:"weight"`
	// Share is the maximum percentage of a backend server's slots that the row may
	// occupy. 100 means no limit.
	Share int `json:"share"`
	// Concurrency is the maximum number of running requests. 0 means no limit.
	Concurrency int `json:"concurrency,omitempty"`
	// QueueTime is the maximum time that a request may be queued.
	QueueTime time.Duration `json:"queue_time"`
	// Path is the path prefix of the requests that a plain service handles.
	Path string `json:"path,omitempty"`
	// Version is the table version that last changed the row. It is set by Table.Apply.
	Version uint64 `json:"version,omitempty"`
}

// EffectiveWeight returns the row's weight multiplied by its tier's factor.
func (r Row) EffectiveWeight() int { return max(r.Weight, 1) * r.Tier.Factor() }

// equalExceptVersion reports whether the rows are equal apart from their versions.
func (r Row) equalExceptVersion(o Row) bool {
	r.Version, o.Version = 0, 0
	return r == o
}

func compareNames(a, b Row) int { return cmp.Compare(a.Name, b.Name) }
