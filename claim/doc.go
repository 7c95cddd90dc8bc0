// Package claim records which idempotency keys have been used, so that a request that must not
// be repeated runs at most once.
//
// Keys are divided into shards. One process at a time owns a shard by means of a lease. It
// appends the shard's records in batches to numbered slots in the platform's key-value service.
// A slot is written only if it is empty. An owner that was paused until after its lease had
// expired therefore finds its next slot written by the new owner, and stops. A request may be
// forwarded only after the write of its claim is confirmed.
//
// A Shard owns the keys below claim/SHARD/ in the service while its process holds the shard's
// lease. It relies on the service's compare-and-swap and leases, on package clock and on the
// caller for the shard's lease (Options.Held). While the service is unavailable no claim is
// recorded, so no such request is sent. A write whose outcome stays unknown closes the shard.
// A lease of the service limits the lifetime of records to between one and two times
// Options.Retention. Record.At is in Unix seconds.
package claim
