package admitqueue

import (
	"maps"
	"time"
)

const (
	// returnRetention is how long a refused request is remembered. Callers heed a Retry-After of a few seconds.
	returnRetention = 10 * time.Second
	// maxReturns bounds the memory for refused requests.
	maxReturns = 4096
	// returnTolerance is by how much a caller may come back too early. Its clock and its link are not exact.
	returnTolerance = 50 * time.Millisecond
	// forgetInterval is the least time between two searches for outdated entries. Each takes 0.1 ms of a processor, which
	// is too much for each of some hundred refusals a second.
	forgetInterval = 100 * time.Millisecond
)

// Returns holds the requests that were refused and when their callers were asked to come back. A caller that comes back
// then keeps the place of its first arrival; one that comes back earlier gets the place that it would have had.
//
// The zero value is empty.
type Returns struct {
	refused map[uint64]refusal
	// nextForget is when outdated entries are searched for again.
	nextForget time.Time
}

type refusal struct{ arrived, due, forgetAt time.Time }

// Refused records that the request with a key, which arrived at a given time, was refused and that its caller was asked to
// come back when it is due.
func (r *Returns) Refused(key uint64, arrived, due, now time.Time) {
	if r.refused == nil {
		r.refused = make(map[uint64]refusal)
	}
	_, known := r.refused[key]
	if !known && len(r.refused) >= maxReturns {
		r.forget(now)
	}
	if known || len(r.refused) < maxReturns {
		r.refused[key] = refusal{arrived: arrived, due: due, forgetAt: now.Add(returnRetention)}
	}
}

// Arrival returns the time of arrival by which a request is ordered, and whether its caller came back as it was asked to.
// arrived is the time of its present arrival.
func (r *Returns) Arrival(key uint64, arrived, now time.Time) (order time.Time, asTold bool) {
	x, ok := r.refused[key]
	switch {
	case !ok || !now.Before(x.forgetAt):
		return arrived, false
	case arrived.Before(x.due.Add(-returnTolerance)):
		return x.due, false
	}
	return x.arrived, true
}

// Served forgets a request.
func (r *Returns) Served(key uint64) { delete(r.refused, key) }

// forget drops outdated entries, once in forgetInterval.
func (r *Returns) forget(now time.Time) {
	if now.Before(r.nextForget) {
		return
	}
	r.nextForget = now.Add(forgetInterval)
	maps.DeleteFunc(r.refused, func(_ uint64, x refusal) bool { return !now.Before(x.forgetAt) })
}
