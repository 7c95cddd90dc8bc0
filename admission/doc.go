// Package admission counts the requests that run at backend servers, over all gateways.
//
// Each server has an owner among the gateways, which admits the requests of all gateways there. A Ledger
// is the owner's account: every request from its admission until its end, counted once whatever the order
// in which the messages about it arrive. An Outbox is the sender's side: it numbers the admissions that
// this gateway asks for and produces the messages that tell each owner what has begun and ended.
//
// Messages may be lost, duplicated, delayed and reordered. Each admission has an ID in the channel between
// a sender and an owner. IDs increase from 1, are never used again, and end once. An owner remembers the
// IDs that ended until the sender's floor passes them, so that a late copy does not bring them back.
//
// The package does no I/O and is not safe for concurrent use. Package dispatch owns a Ledger and an Outbox
// and exchanges their messages.
package admission
