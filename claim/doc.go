// Package claim keeps the records by which a request that may not be repeated runs at most once.
//
// Keys are divided into shards. One process at a time owns a shard, by a lease; it appends the
// shard's records, several to a write, to numbered slots in the platform's key-value service.
// A slot is written only if it is empty, so an owner that was paused past its lease finds its
// next slot taken by the next owner and learns that it owns the shard no more. A request may
// be sent on only after its claim's slot is surely written.
//
// A Shard owns the keys claim/SHARD/ of the service while its process holds the shard's lease.
// It relies on the service's compare-and-swap and leases, on package clock and on the caller
// for the lease (Options.Held). While the service is away no claim is recorded, so no such
// request is sent; a write whose outcome stays unknown closes the shard. Records are kept for
// Options.Retention at least and twice that at most, by a lease of the service. Record.At is in
// Unix seconds.
package claim
