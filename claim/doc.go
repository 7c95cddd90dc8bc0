// Package claim keeps the records by which a request that may not be repeated
// runs at most once.
//
// Keys are divided into shards. One process at a time owns a shard, by a lease;
// it appends the shard's records, several to a write, to numbered slots in the
// platform's key-value service. A slot is written only if it is empty, so an
// owner that was paused past its lease finds its next slot taken by the next
// owner and learns that it owns the shard no more. A request may be sent on
// only after its claim's slot is surely written.
package claim
