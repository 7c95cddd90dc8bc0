package intake

import (
	"cmp"
	"slices"
	"time"
)

// A Wait is what a connection waits for its caller to send.
type Wait int

const (
	// WaitNone: nothing; a request is being served.
	WaitNone Wait = iota
	// WaitRequest: the first byte of its first request, or the rest of a header or of a body.
	WaitRequest
	// WaitNext: another request, after at least one.
	WaitNext
)

// minRequestWait is how long a caller may take for a request before its connection is ended in favour of another one.
const minRequestWait = time.Second

// An OpenConn is the state of an open connection.
type OpenConn struct {
	Wait Wait
	// Since is when the wait began.
	Since time.Time
	// Held is the memory that is counted for the header of its request, in bytes.
	Held int64
}

// EvictHeads returns the indexes of the connections to end so that at least need bytes of header memory become free, or all that may
// be ended if they hold less. Only connections that wait for the rest of a request are ended; first come those that have held the
// most for the longest.
func EvictHeads(list []OpenConn, now time.Time, need int64) []int {
	var candidates []int
	for i, c := range list {
		if c.Wait == WaitRequest && c.Held > 0 {
			candidates = append(candidates, i)
		}
	}
	weight := func(c OpenConn) float64 { return float64(c.Held) * now.Sub(c.Since).Seconds() }
	slices.SortFunc(candidates, func(a, b int) int { return cmp.Compare(weight(list[b]), weight(list[a])) })
	for i, c := range candidates {
		if need <= 0 {
			return candidates[:i]
		}
		need -= list[c].Held
	}
	return candidates
}

// evictedHeads is the part of the header memory that is made free at a time, so that not every header looks at all connections.
const evictedHeads = 1. / 16

// HeadRoom returns how much header memory to make free for a head that finds none.
func (m *HeadMemory) HeadRoom() int64 { return int64(evictedHeads * float64(m.limit)) }

// Evict returns the indexes of the connections to end, most of them n, so that a process which has as many connections as it may
// can take others. First come those whose callers owe a part of a request for minRequestWait, then those that are kept for
// another request; of each kind those that have waited longest.
func Evict(list []OpenConn, now time.Time, n int) []int {
	candidates := make([]int, 0, len(list))
	for i, c := range list {
		if c.Wait == WaitNext || c.Wait == WaitRequest && now.Sub(c.Since) >= minRequestWait {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		return cmp.Or(cmp.Compare(list[a].Wait, list[b].Wait), list[a].Since.Compare(list[b].Since))
	})
	return candidates[:min(n, len(candidates))]
}

// evictFraction is the part of the permitted connections that is kept free by ending others.
const evictFraction = 1. / 16

// Excess returns how many connections to end so that there is room for others, of open ones, where at most maxOpen may be open; 0
// for maxOpen is any number. It returns a number that makes it worth looking at all connections.
func Excess(open, maxOpen int) int {
	room := max(int(evictFraction*float64(maxOpen)), 1)
	if maxOpen <= 0 || open <= maxOpen-room {
		return 0
	}
	return room
}
