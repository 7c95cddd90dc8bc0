package table

import "rockcleat/apikey"

// A LimitUnit is the unit in which the rate limit of an organisation is counted.
type LimitUnit string

// Units of rate limits.
const (
	// UnitRequests counts each request as one.
	UnitRequests LimitUnit = "requests"
	// UnitTokens counts the tokens of the prompt and the maximum number of generated tokens.
	UnitTokens LimitUnit = "tokens"
)

// A RateLimit is the rate limit of an organisation across all gateways. In any period of s seconds its
// requests may cost at most s*PerSecond + Burst units.
type RateLimit struct {
	Unit LimitUnit
	// PerSecond is the rate in units per second. 0 means no limit.
	PerSecond float64
	// Burst is in units.
	Burst float64
	// DefaultTokens is the cost of a request that states no number of tokens.
	DefaultTokens float64
}

// IsLimited reports whether the rate is limited.
func (l RateLimit) IsLimited() bool { return l.PerSecond > 0 }

// Cost returns the cost of a request in units of the limit. The argument tokens is the number that the
// request states, 0 if it states none.
func (l RateLimit) Cost(tokens int) float64 {
	switch {
	case l.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return l.DefaultTokens
}

// An Organisation pays for requests. Its requests are identified by an API key.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route if it is not nil.
	Priority  *int
	RateLimit RateLimit
	// Regions lists the regions whose servers may get the organisation's requests. If it is empty, all
	// may.
	Regions []string
}

// WithOrganisations returns a copy of the routing with the given organisations and API keys. Requests then need a key
// unless their route is public. If the list is empty, no key is valid.
func (r *Routing) WithOrganisations(list []Organisation, keys *apikey.Directory) *Routing {
	result := *r
	result.keys = keys
	result.organisations = make(map[string]Organisation, len(list))
	for _, o := range list {
		result.organisations[o.Name] = o
	}
	return &result
}

// RequiresKeys reports whether requests on routes that are not public need an API key. They do if the routing comes from
// WithOrganisations, also when the last organisation has been removed.
func (r *Routing) RequiresKeys() bool { return r.organisations != nil }

// OrganisationByKey returns the organisation that an API key belongs to.
func (r *Routing) OrganisationByKey(k apikey.Digest) (Organisation, bool) {
	if r.keys == nil {
		return Organisation{}, false
	}
	name, ok := r.keys.Organisation(k)
	if !ok {
		return Organisation{}, false
	}
	return r.Organisation(name)
}

// Organisation returns the organisation with the given name.
func (r *Routing) Organisation(name string) (Organisation, bool) {
	o, ok := r.organisations[name]
	return o, ok
}

// Organisations returns all organisations in unspecified order.
func (r *Routing) Organisations() []Organisation {
	list := make([]Organisation, 0, len(r.organisations))
	for _, o := range r.organisations {
		list = append(list, o)
	}
	return list
}
