// Package ledger accounts for the accelerator memory of one backend server.
//
// Memory for a load order is reserved before the order is sent, and stays reserved until the order
// can no longer take effect. The models and adapters that are resident or may still be loaded
// therefore never exceed an accelerator's memory.
//
// A Ledger belongs to the agent of one server. It relies on the agent to store intents in the
// platform's key-value service before it sends their orders, so that Restore can reload them after a
// restart, and on the server's reports. Without a report no memory is freed. Memory is in MiB.
package ledger
