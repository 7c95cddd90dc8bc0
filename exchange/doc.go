// Package exchange replicates the changes of a log between processes.
//
// A Log holds records that can be merged in any order and any number of times, and numbers its changes. A
// process has a Link to one peer at a time. Each Message carries the local changes that the peer lacks and
// requests the peer's changes since the last Reply. A lost, late or duplicated message does no harm. A peer
// that has restarted is sent everything again.
//
// The package owns the cursors up to which two processes know each other's changes. It relies on the caller
// to carry messages and replies, and on the Log to define and merge records. A Link must be used by one
// goroutine at a time.
package exchange
