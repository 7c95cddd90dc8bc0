// Package relay arranges the processes of a deployment in a distribution tree: updates start at the
// root, and each process fetches them from its parent.
//
// Every process computes the tree from the list of members and the root alone, so processes with
// the same list agree on it without coordination, and a member that joins or leaves moves few
// others. The number of children of a process is bounded by Width, and an update reaches all
// members in a number of hops that is logarithmic in their count.
//
// The package keeps no state and depends only on package rendezvous. It neither transfers updates
// nor tracks which members are alive: a process whose parent does not answer tries the next address
// in Position.Parents.
package relay
