// Package kv is the client of the platform's key-value service.
//
// It declares Store, the operations of the service that rockcleat uses (compare-and-swap, leases
// and watches), and PrefixStore, the list and watch of a prefix. Client implements Store over HTTP
// with JSON; another platform is supported by another implementation. Follow keeps a copy of a
// prefix up to date. A Fanout lets one process watch the service on behalf of many, and a Breaker
// limits the calls to a failing service.
//
// A Revision combines an era and a count of writes. The era rises when the service is restored from
// a backup. Counts of different eras are not comparable, except by Writers: the first list of a new
// era is merged with the entries known before.
//
// The package owns no state of the service. A Fanout keeps a bounded log of the latest changes of
// the prefixes in use, with the time at which it was current. The package relies on revisions that
// only grow and on package clock. While the service is unavailable, calls fail and Follow retries
// with pauses; the data already known is kept, and the caller judges its age.
//
// Errors classify the outcome of a call and are tested with errors.Is. ErrUnavailable,
// ErrRateLimited, ErrConflict, ErrNotFound and ErrLeaseGone mean that a write had no effect.
// ErrUnknown means that it may have had one. Durations are of type time.Duration; message fields in
// milliseconds end in Ms or carry the unit in their JSON name.
package kv
