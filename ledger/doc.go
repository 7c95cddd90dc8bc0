// Package ledger accounts for the accelerator memory of one backend server.
//
// Memory is reserved for a load order before the order is sent, and until the server reports the
// order as finished. The sum of resident models and adapters and of those that may still be loaded
// therefore never exceeds an accelerator's memory.
//
// A Ledger belongs to the agent of one server. It relies on the agent to store intents in the
// platform's key-value service before it sends their orders, so that Restore can reload them after a
// restart, and on the server's reports. Without a report no memory is freed. Memory is in MiB.
package ledger
