// Package lease acquires named leases in the platform's key-value service and gives their holders
// fencing tokens.
//
// It owns one key for each lease, lease/NAME. The value of the key is the holder's Record, and its
// revision is the fencing token. The package relies on the leases and compare-and-swap of the
// service and on package clock. While the service is unavailable, a holder keeps its lease until
// four fifths of the TTL after it sent its last successful renewal, and nobody acquires one.
//
// The service grants a lease to at most one Holder at a time, but a holder that was paused may not
// know that its lease has expired. Each action of a holder must therefore carry the Token, and the
// receiver must reject a token lower than the highest one seen (Kleppmann, "How to do distributed
// locking", 2016).
package lease
