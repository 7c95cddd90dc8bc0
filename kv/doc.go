// Package kv is the client side of the platform's key-value service.
//
// It declares the Store that the rest of rockcleat needs of the service (compare-and-swap,
// leases and watches), the PrefixStore that watches need, and a Client that speaks to the
// service over HTTP with JSON. Another platform is met by another Store. Follow keeps a
// copy of a prefix up to date; a Fanout lets one process watch for many.
//
// A position in the service is an era and a count of writes, in one Revision. The era rises
// when the service comes back from a copy of itself, some seconds old; nothing else may compare
// counts. The first list of a new era is joined with what was known before (Writers).
//
// It owns no state of the service: a Fanout keeps the latest changes of the prefixes it
// has seen, bounded, and how old they are. It relies on revisions only growing, as eras make
// them, and on package clock. While the service is away, calls fail and Follow tries
// again, never without a pause; what is known stays known, and its age is for the caller to judge.
//
// Outcomes are values: a call that failed shows, by errors.Is, whether the service
// refused it before it took effect (ErrUnavailable, ErrRateLimited, ErrConflict,
// ErrNotFound, ErrLeaseGone) or whether it may have taken effect (ErrUnknown). Times are
// time.Duration; fields of messages in milliseconds end in Ms.
package kv
