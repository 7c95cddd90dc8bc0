package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockcleat/rendezvous"
)

// Constants of the choice.
const (
	// boundFactor is how far above the mean load a preferred server may be, as a factor.
	boundFactor = 1.25
	// loadMaxAge is how long a reported load counts.
	loadMaxAge = 5 * time.Second
	// avoidTime is how long a server that failed or refused is put last.
	avoidTime = time.Second
)

// A Candidate is a server that may take a request.
type Candidate struct {
	ID   string
	Hall string
}

// A load describes one server's work.
type load struct {
	// reported is the load that the server put on an answer, and reportedAt when it came.
	reported   int
	reportedAt time.Time
	// outstanding counts the requests that this process has there.
	outstanding int
	avoidUntil  time.Time
	// leaving is the incarnation of the server that said that it is leaving.
	leaving string
}

// A Table holds the load of all servers that a process has dealt with; it is
// safe for concurrent use and its zero value is empty.
type Table struct {
	// Hall is the process's own hall, preferred between equals.
	Hall string

	mu    sync.Mutex
	loads map[string]*load
}

// entry returns the load of a server; the Table is locked.
func (t *Table) entry(id string) *load {
	if t.loads == nil {
		t.loads = make(map[string]*load)
	}
	l, ok := t.loads[id]
	if !ok {
		l = &load{}
		t.loads[id] = l
	}
	return l
}

// Begin counts a request sent to a server and returns a function that ends it.
func (t *Table) Begin(id string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.entry(id)
	l.outstanding++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		l.outstanding--
	}
}

// Report sets the load that a server put on an answer, in requests.
func (t *Table) Report(id string, value int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.entry(id)
	l.reported, l.reportedAt = value, now
}

// Avoid puts a server last for a short while.
func (t *Table) Avoid(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).avoidUntil = now.Add(avoidTime)
}

// Leave records that an incarnation of a server said that it is leaving.
func (t *Table) Leave(id, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).leaving = incarnation
}

// Leaving reports whether the incarnation said that it is leaving.
func (t *Table) Leaving(id, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[id]
	return ok && l.leaving != "" && l.leaving == incarnation
}

// Forget drops servers that are not among the live ones.
func (t *Table) Forget(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.loads {
		if !live[id] && l.outstanding == 0 {
			delete(t.loads, id)
		}
	}
}

// value returns the load that counts for a server, in requests.
func (t *Table) value(id string, now time.Time) float64 {
	l, ok := t.loads[id]
	if !ok {
		return 0
	}
	v := float64(l.outstanding)
	if now.Sub(l.reportedAt) < loadMaxAge {
		v = max(v, float64(l.reported))
	}
	return v
}

// avoided reports whether a server is put last now.
func (t *Table) avoided(id string, now time.Time) bool {
	l, ok := t.loads[id]
	return ok && now.Before(l.avoidUntil)
}

// Order returns the candidates in the order in which to try them.
//
// A prefix of zero stands for none.
func (t *Table) Order(cands []Candidate, prefix uint64, now time.Time) []Candidate {
	order := slices.Clone(cands)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(order, func(a, b Candidate) int { return cmp.Compare(t.rank(a, now), t.rank(b, now)) })
	usable := t.usable(order, now)
	if first := t.first(order[:usable], prefix, now); first > 0 {
		c := order[first]
		order = slices.Insert(slices.Delete(order, first, first+1), 0, c)
	}
	return order
}

// rank puts avoided servers last and servers of the own hall first.
func (t *Table) rank(c Candidate, now time.Time) int {
	rank := 0
	if t.avoided(c.ID, now) {
		rank += 2
	}
	if c.Hall != t.Hall {
		rank++
	}
	return rank
}

// usable returns how many of the ordered candidates are not put last.
func (t *Table) usable(order []Candidate, now time.Time) int {
	i := slices.IndexFunc(order, func(c Candidate) bool { return t.avoided(c.ID, now) })
	if i < 0 {
		return len(order)
	}
	return i
}

// first returns the index of the server to try first: the one that the prefix prefers, unless
// its load is over the bound, or else the less loaded of two random ones.
func (t *Table) first(order []Candidate, prefix uint64, now time.Time) int {
	if len(order) < 2 {
		return 0
	}
	if prefix != 0 {
		if i := t.preferred(order, prefix); t.value(order[i].ID, now) <= t.bound(order, now) {
			return i
		}
	}
	i, j := rand.IntN(len(order)), rand.IntN(len(order))
	if t.value(order[j].ID, now) < t.value(order[i].ID, now) {
		return j
	}
	return i
}

// bound returns the load up to which a preferred server is taken; one request more than the
// mean is always allowed.
func (t *Table) bound(order []Candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range order {
		sum += t.value(c.ID, now)
	}
	return boundFactor*sum/float64(len(order)) + 1
}

// preferred returns the index with the highest rendezvous weight for the prefix.
func (t *Table) preferred(order []Candidate, prefix uint64) int {
	best, bestHash := 0, uint64(0)
	for i, c := range order {
		if h := rendezvous.Weight(c.ID, prefix); h >= bestHash {
			best, bestHash = i, h
		}
	}
	return best
}
