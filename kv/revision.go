package kv

// A Revision is a position in the service's history: an era, and the count of writes in that
// history. All positions of a later era are higher than those of earlier ones, so revisions compare
// as numbers.
//
// The era rises by one when the service is restored from a backup. Writes after the backup are then
// lost, and their counts are used again. In a service that was never restored, the era is 0 and a
// revision equals its count.
//
// The era occupies the bits above countBits. Revisions, and the fencing tokens derived from them,
// stay below 2^53 up to era 8,191, so that every JSON decoder keeps them exact.
type Revision int64

// countBits is the number of bits for the count: 29 years of 1,200 writes a second.
const countBits = 40

// NewRevision returns the revision with a count of writes in an era.
func NewRevision(era, count int64) Revision { return Revision(era<<countBits | count) }

// Era returns the era of the revision.
func (r Revision) Era() int64 { return int64(r) >> countBits }

// Count returns the number of writes in the service's history up to the revision.
func (r Revision) Count() int64 { return int64(r) & (1<<countBits - 1) }
