package gateway

import (
	"errors"
	"net/http"
	"time"

	"rockcleat/apikey"
	"rockcleat/table"
)

// revokeShare is the part of the time in which a key that was taken away must open nothing up to which a
// gateway relies on a configuration that it has heard nothing of. A request is judged when its header has
// been read, so that the rest need only cover clocks that differ in rate and the time from there to the
// server.
const revokeShare = 0.8

// retryBehind is when a caller should come back whose key cannot be judged: news that was late by one watch
// of the leader has come by then, and other gateways may know already.
const retryBehind = 500 * time.Millisecond

// An access judges callers' keys by the configuration, and whether that is recent enough to do so.
type access struct {
	// currentAt returns when the configuration in force surely was the newest.
	currentAt func() time.Time
	// revokeTime is that of the settings, 0 for none; knownTime returns how old the configuration may be
	// for a key to count as unknown.
	revokeTime time.Duration
	knownTime  func() time.Duration
}

// configAge returns how long before a time the configuration in force surely was the newest.
func (a *access) configAge(now time.Time) time.Duration { return now.Sub(a.currentAt()) }

// check returns the organisation that a request comes from, by a configuration of an age; the zero Organisation
// if it needs no key.
//
// Whoever cannot prove that its configuration is recent answers 503: the key may have been taken away. A
// key that is not known gets 401 only from a gateway whose configuration is as recent as in calm times: it
// may be new elsewhere.
func (a *access) check(r *http.Request, routing *table.Routing, route table.Route, age time.Duration) (table.Organisation, *refusal) {
	if !routing.NeedsKeys() || route.Open {
		return table.Organisation{}, nil
	}
	organisation, err := keyHolder(r, routing)
	switch {
	case a.isTooOld(age):
		return table.Organisation{}, withOrganisation(notRun("keys cannot be checked now", retryBehind), organisation)
	case err == nil:
		return organisation, nil
	case age > a.knownTime():
		return table.Organisation{}, notRun("the key is not known here yet", retryBehind)
	}
	return table.Organisation{}, &refusal{status: http.StatusUnauthorized, reason: err.Error(), challenge: true}
}

// isTooOld reports whether a configuration of an age no longer proves that a key was not taken away.
func (a *access) isTooOld(age time.Duration) bool {
	return a.revokeTime > 0 && float64(age) > revokeShare*float64(a.revokeTime)
}

// errUnknownKey says that no organisation holds a key.
var errUnknownKey = errors.New("unknown key")

// keyHolder returns the organisation whose key a request carries.
func keyHolder(r *http.Request, routing *table.Routing) (table.Organisation, error) {
	k, err := apikey.FromHeader(r.Header.Values(apikey.Header))
	if err != nil {
		return table.Organisation{}, err
	}
	organisation, ok := routing.KeyHolder(k)
	if !ok {
		return table.Organisation{}, errUnknownKey
	}
	return organisation, nil
}

// withOrganisation returns a refusal with the organisation that its log line names.
func withOrganisation(f *refusal, o table.Organisation) *refusal {
	f.organisation = o.Name
	return f
}
