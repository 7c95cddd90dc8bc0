// Package relay arranges many processes in a tree along which news travels: the root has it first,
// and each process asks its parent.
//
// All processes that know the same members and the same root agree on the tree without a message,
// and a member that comes or goes moves few others. What one process sends grows with the tree's
// width, not with the number of members, and news reaches all of them in a number of hops that is
// the logarithm of that number.
//
// It owns no state and relies on nothing. It does not carry news, and it does not know which members
// live: whoever gets no answer from a parent asks the next one of Position.Parents.
package relay
