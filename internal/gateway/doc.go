// Package gateway is the entry process in front of backend servers that it speaks to
// directly: it takes callers' requests, chooses a server for each (package dispatch),
// passes answers and streams on, and reports to the leader among the gateways (package
// placer), which decides what engines hold.
//
// A Gateway joins parts that each own their state:
//
//   - conns: callers' connections, and when they end;
//   - lifecycle: requests in progress, and the stop;
//   - configuration, which a configsync.Syncer keeps up to date, and serverList, kept by a
//     follower: the view of the store;
//   - directory: the list of gateways, and this one's position in the tree of them, which decides
//     whom it asks and when it asks the store itself;
//   - reporter: the reports to the leader, and what it has been sent;
//   - feed: the view of the store, from the parent in the tree of gateways;
//   - proxy: the way of a request, with an inbound (what is known at its start), a
//     forwarder (the loop that tries servers) and a record (what happened);
//   - quarantineRole: requests under which servers have ended (package quarantine), with an
//     endDetector that finds out whether a server ended, and a quarantineKeeper that keeps in the
//     store what must outlast all gateways;
//   - retryBudgets, requestLog: retries allowed; log lines and metrics.
//
// It relies on the store and the leader for news only: while both are away it serves from
// its last view, whose age the log shows. Nothing of it outlives the process but the requests in
// quarantine, which the leader keeps in the store. Header names
// and formats of records come from the platform's adapter through wire.Names and Decoder.
//
// Callers get outcomes, never errors of this package: docs/DECISIONS.md lists the rules.
package gateway
