// Package exchange carries the changes of a log from process to process, so that each process hears of what
// every other one has learned.
//
// A Log holds records that merge in any order and any number of times, and counts its changes. A process has a
// Link to one peer at a time: each Message tells what has changed here since the last one and asks for what
// has changed there since the last Reply. A message that is lost, late or doubled does no harm, and a peer that
// starts anew is sent everything.
//
// The package owns the positions up to which two processes know each other's changes. It relies on its caller to
// carry messages and replies, and on the Log for what a record means and how records merge.
package exchange
