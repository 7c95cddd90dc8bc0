package gateway

import (
	"errors"
	"net/http"
	"time"

	"rockcleat/apikey"
	"rockcleat/table"
)

// revocationDelayFraction is the fraction of maxRevocationDelay after which a gateway that cannot confirm its
// configuration stops accepting keys. A request is checked once its header has been read; the remainder covers
// clock drift and the time until the request reaches the server.
const revocationDelayFraction = 0.8

// retryAfterStaleConfig is the Retry-After for a request whose key cannot be checked. By then an update that the
// leader's watch delivered late has arrived, and other gateways may already have it.
const retryAfterStaleConfig = 500 * time.Millisecond

// An authenticator authenticates callers by the API keys in the configuration. It accepts a key only while the
// configuration is known to be recent.
type authenticator struct {
	// currentAt returns the latest time at which the configuration in force was known to be the newest.
	currentAt func() time.Time
	// maxRevocationDelay is the configured time within which a revoked key must stop working; 0 disables the check.
	// unknownKeyMaxAge returns the maximum age of a configuration that may reject a key as unknown.
	maxRevocationDelay time.Duration
	unknownKeyMaxAge   func() time.Duration
}

// configAge returns the time since the configuration in force was last known to be the newest.
func (a *authenticator) configAge(now time.Time) time.Duration { return now.Sub(a.currentAt()) }

// authenticate returns the organisation that owns the request's key, or the zero Organisation if the request needs no
// key. age is that of the configuration, as configAge returns it.
//
// If the configuration is too old, the key may have been revoked, and the request is refused with 503. An unknown key
// is refused with 401 only if the configuration is recent enough; otherwise the key may be newer than the
// configuration, and the status is 503 too.
func (a *authenticator) authenticate(r *http.Request, routing *table.Routing, route table.Route, age time.Duration) (table.Organisation, *refusal) {
	if !routing.RequiresKeys() || route.Public {
		return table.Organisation{}, nil
	}
	organisation, err := keyHolder(r, routing)
	switch {
	case a.isTooOld(age):
		return table.Organisation{}, withOrganisation(notRun("keys cannot be checked now", retryAfterStaleConfig), organisation)
	case err == nil:
		return organisation, nil
	case age > a.unknownKeyMaxAge():
		return table.Organisation{}, notRun("the key is not known here yet", retryAfterStaleConfig)
	}
	return table.Organisation{}, &refusal{status: http.StatusUnauthorized, reason: err.Error(), challenge: true}
}

// isTooOld reports whether a configuration of the given age may still contain a revoked key.
func (a *authenticator) isTooOld(age time.Duration) bool {
	return a.maxRevocationDelay > 0 && float64(age) > revocationDelayFraction*float64(a.maxRevocationDelay)
}

// errUnknownKey reports that the key belongs to no organisation.
var errUnknownKey = errors.New("unknown key")

// keyHolder returns the organisation that owns the request's API key.
func keyHolder(r *http.Request, routing *table.Routing) (table.Organisation, error) {
	k, err := apikey.FromHeader(r.Header.Values(apikey.Header))
	if err != nil {
		return table.Organisation{}, err
	}
	organisation, ok := routing.OrganisationByKey(k)
	if !ok {
		return table.Organisation{}, errUnknownKey
	}
	return organisation, nil
}

// withOrganisation sets the organisation that the refusal's log line names, and returns the refusal.
func withOrganisation(r *refusal, o table.Organisation) *refusal {
	r.organisation = o.Name
	return r
}
