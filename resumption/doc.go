// Package resumption records where streams began, so that each is resumed only by a server that can continue it. Servers
// of one service may run several versions of their software, and a stream of one version cannot be continued by another.
//
// A Table holds the Origin of each stream by its Key. The process that begins a stream adds the record to its own Table
// and sends it to the holders of the key (Holders), and a process that is asked to resume a stream which it does not
// know asks them. An Origin never changes, so records can be merged in any order and repeatedly.
//
// The package owns the records and the choice of holders. The caller transports the records. A Table is kept in memory
// only and forgets a record one to two times its retention after the record was added. Times are durations, so the
// clocks of processes may differ.
package resumption
