// Package ledger keeps the memory account of one backend server's accelerators.
//
// Every order that may still take effect counts from before it is sent until the server has
// reported it finished, so the sum of what is and what may come to be resident never exceeds an
// accelerator's memory.
//
// A Ledger owns the account of one server, in the agent beside it. It relies on the agent to
// record intents in the platform's service before it sends them (Restore brings them back), and
// on the server's reports. Without a report nothing is freed. Memory is in MiB.
package ledger
