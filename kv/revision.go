package kv

// A Revision is a position in the service's history: the era, and the count of writes in it. Positions of a later
// era come after all those of earlier ones, so that revisions are compared as numbers.
//
// The era rises by one when the service comes back from a copy of itself: what was written after the copy is
// lost, and counts are given out again. A service that never does stays in era 0, in which a revision is the count.
//
// The era takes the bits above countBits, so that revisions, and the fencing tokens that are made of them, stay
// whole numbers that every JSON decoder keeps (below 2^53) up to era 8,191.
type Revision int64

// countBits is the number of bits of a revision that count writes: enough for 29 years of 1,200 writes a second.
const countBits = 40

// NewRevision returns the position after a count of writes in an era.
func NewRevision(era, count int64) Revision { return Revision(era<<countBits | count) }

// Era returns the era of the position.
func (r Revision) Era() int64 { return int64(r) >> countBits }

// Count returns the number of writes in the service's history up to the position.
func (r Revision) Count() int64 { return int64(r) & (1<<countBits - 1) }
