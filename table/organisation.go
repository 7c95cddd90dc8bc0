package table

import "rockcleat/apikey"

// A LimitUnit is what a limit of an organisation counts.
type LimitUnit string

// The units of limits.
const (
	// UnitRequests counts each request as one.
	UnitRequests LimitUnit = "requests"
	// UnitTokens counts the tokens of a request's prompt and the most that it may generate.
	UnitTokens LimitUnit = "tokens"
)

// A Limit bounds what an organisation may have run by all gateways together: in any span of time at most
// PerSecond times its seconds and Burst, counted in Unit.
type Limit struct {
	Unit LimitUnit
	// PerSecond is the rate, 0 for no limit.
	PerSecond float64
	Burst     float64
	// DefaultTokens is what a request counts that names no number of tokens.
	DefaultTokens float64
}

// IsLimited reports whether there is a limit.
func (l Limit) IsLimited() bool { return l.PerSecond > 0 }

// Cost returns what a request counts against the limit; tokens is the number that it names, 0 if none.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case l.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return l.DefaultTokens
}

// An Organisation is a paying customer, whose requests carry one of its keys.
type Organisation struct {
	Name string
	// Priority, if not nil, takes the place of the route's.
	Priority *int
	Limit    Limit
}

// WithOrganisations returns the routing with organisations and their keys: a request then needs a key,
// unless its route is open.
func (r *Routing) WithOrganisations(list []Organisation, keys *apikey.Directory) *Routing {
	with := *r
	with.keys = keys
	with.organisations = make(map[string]Organisation, len(list))
	for _, o := range list {
		with.organisations[o.Name] = o
	}
	return &with
}

// NeedsKeys reports whether there are organisations, so that requests need keys.
func (r *Routing) NeedsKeys() bool { return len(r.organisations) > 0 }

// KeyHolder returns the organisation that holds a key.
func (r *Routing) KeyHolder(k apikey.Digest) (Organisation, bool) {
	if r.keys == nil {
		return Organisation{}, false
	}
	name, ok := r.keys.Organisation(k)
	if !ok {
		return Organisation{}, false
	}
	return r.Organisation(name)
}

// Organisation returns an organisation by name.
func (r *Routing) Organisation(name string) (Organisation, bool) {
	o, ok := r.organisations[name]
	return o, ok
}

// Organisations returns all organisations, in no order.
func (r *Routing) Organisations() []Organisation {
	list := make([]Organisation, 0, len(r.organisations))
	for _, o := range r.organisations {
		list = append(list, o)
	}
	return list
}
