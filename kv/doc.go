// Package kv is the client side of the platform's key-value service.
//
// It declares the Store that the rest of rockcleat needs of the service
// (compare-and-swap, leases and watches) and a Client that speaks to it over
// HTTP with JSON. Another platform is met by another Store.
//
// Outcomes are values: a call that failed tells, by errors.Is, whether the
// service refused it before it took effect (ErrUnavailable, ErrRateLimited,
// ErrConflict, ErrNotFound, ErrLeaseGone) or whether it may have taken effect
// (ErrUnknown).
package kv
