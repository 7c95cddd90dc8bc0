// Package rendezvous divides keys among nodes by highest random weight (Thaler and Ravishankar,
// IEEE/ACM ToN 1998): processes that know the same nodes agree without a message, and a node
// that comes or goes moves only the keys that it gains or had.
//
// It owns no state and relies on nothing. Its hashes decide what processes of different
// versions must agree on, and which shard a recorded claim is in, so they never change.
package rendezvous
