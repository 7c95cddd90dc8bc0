// Package lease contends for named leases in the platform's key-value service
// and gives their holders a fencing token.
//
// At most one Holder at a time gets a given name from the service, but a holder
// that was paused may not know that its lease has lapsed. Whatever a holder
// does must therefore carry the Token, and whoever receives it must refuse a
// token lower than the highest one seen (Kleppmann, "How to do distributed
// locking", 2016).
package lease
