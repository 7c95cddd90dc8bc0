// Package lease contends for named leases in the platform's key-value service and gives
// their holders a fencing token.
//
// It owns one key for each name, lease/NAME, whose value is the holder's Record and whose
// revision is the fencing token. It relies on the service's leases and compare-and-swap
// and on package clock. While the service is away a holder keeps its lease until four
// fifths of the ttl after its last renewal was sent, and nobody acquires one.
//
// At most one Holder at a time gets a given name from the service, but a holder that was
// paused may not know that its lease has lapsed. Whatever a holder does must therefore
// carry the Token, and whoever receives it must refuse a token lower than the highest one
// seen (Kleppmann, "How to do distributed locking", 2016).
package lease
