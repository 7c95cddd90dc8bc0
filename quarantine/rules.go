package quarantine

import "time"

// DefaultEnds is the number of servers after whose ends a request is in quarantine. Two would refuse
// innocent requests that their callers repeat while servers end for other reasons; the chance is computed
// in docs/design/0013. Four would cost one server more for each such request.
const DefaultEnds = 3

// DefaultHold is how long a first quarantine lasts: a caller who repeats the request each second ends
// three servers in that time instead of some 600.
const DefaultHold = 10 * time.Minute

// maxEnds bounds the ends that a record keeps, and with it how often the quarantine doubles: five times,
// to 32 times the first.
const maxEnds = 8

// From how many ends on a process tells a peer of a request.
const (
	// AllEnds tells all, to a peer that adds up what it hears: the leader, a planner, another entry.
	AllEnds = 0
	// SharedEnds tells what matters to everyone. Nobody acts on a request with one end, and a server that
	// ends takes up to its slots of requests along.
	SharedEnds = 2
)

// maxRecords bounds the requests that a table knows, in 0.54 MB with one end each (BenchmarkFullTable).
// Those with the fewest and the oldest ends go first. 146 servers of 24 places that end together leave
// 3,504 requests.
const maxRecords = 4096

// keptRecords are left when a table is over maxRecords, so that not each further record costs a look at
// all.
const keptRecords = maxRecords * 3 / 4

// maxMessageRecords bounds the records of one message, to some 21 KB; those left out go with the next. A
// record takes 84 bytes with one end and 142 with three.
const maxMessageRecords = 256

// holdTime returns how long a quarantine lasts from the last end on.
func holdTime(first time.Duration, ends, limit int) time.Duration {
	return first << max(min(ends, maxEnds)-limit, 0)
}

// memory returns how long a record is kept from its last end on: through the quarantine and as long
// again, in which one further end is enough for the next.
func memory(first time.Duration, ends, limit int) time.Duration {
	if ends < limit {
		return first
	}
	return 2 * holdTime(first, ends, limit)
}
