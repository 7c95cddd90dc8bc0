// Package relay arranges the processes of a deployment in a distribution tree: updates start at the
// root, and each process fetches them from its parent.
//
// Every process computes the tree from the list of members and the root alone, so processes with
// the same list and root agree on it without coordination. Members get updates from others in their
// data hall or region as far as possible. A change of the root changes the parents of few members; a
// member that joins or leaves may change those of many. The number of children of a process is bounded
// by Fanout, and an update reaches all members in a number of hops that is logarithmic in their count.
//
// The package keeps no state and depends on no other package of this project except rendezvous. It
// neither transfers updates nor tracks which members are alive: a process whose parent does not
// respond tries the next address in Position.Parents.
package relay
