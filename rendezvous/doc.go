// Package rendezvous assigns keys to nodes by rendezvous (highest random weight) hashing (Thaler
// and Ravishankar, IEEE/ACM ToN 1998). Processes with the same list of nodes agree on every
// assignment without coordination, and adding or removing a node moves only the keys assigned to
// that node.
//
// The package keeps no state and depends on no other package of this project. Processes of
// different versions must compute the same hashes, and stored claims are sharded by them, so the
// hash functions must never change.
package rendezvous
