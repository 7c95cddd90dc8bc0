package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockcleat/rendezvous"
)

const (
	// boundFactor is the ratio to the mean load up to which a prefix keeps its preferred server.
	boundFactor = 1.25
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 5 * time.Second
	// avoidTime is how long a server that failed or refused a request is ordered last.
	avoidTime = time.Second
)

// A Candidate is a server that can take a request.
type Candidate struct {
	ID   string
	Hall string
}

// A load is the state of one server.
type load struct {
	// reported is the load in the server's last response, in requests, and reportedAt the time of
	// that response.
	reported   int
	reportedAt time.Time
	// outstanding is the number of requests that this process has sent there and not finished.
	outstanding int
	avoidUntil  time.Time
	// leaving is the incarnation that reported that it is draining; empty if none did.
	leaving string
}

// A Table holds the loads of the servers that a process has sent requests to. It is safe for
// concurrent use; its zero value is empty.
type Table struct {
	// Hall is the data hall of the process. Its servers are tried before those of other halls.
	Hall string

	mu    sync.Mutex
	loads map[string]*load
}

// entry returns the state of a server, creating it if needed. t.mu must be held.
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

// Begin counts a request as outstanding at a server. The caller must call end exactly once.
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

// Report records the load that a server put in a response, in requests.
func (t *Table) Report(id string, value int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.entry(id)
	l.reported, l.reportedAt = value, now
}

// Avoid orders a server after all others for avoidTime.
func (t *Table) Avoid(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).avoidUntil = now.Add(avoidTime)
}

// Leave records that an incarnation of a server reported that it is draining.
func (t *Table) Leave(id, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(id).leaving = incarnation
}

// Leaving reports whether Leave was last called for this incarnation of the server.
func (t *Table) Leaving(id, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.loads[id]
	return ok && l.leaving != "" && l.leaving == incarnation
}

// Forget removes the servers that are not in live and have no outstanding requests.
func (t *Table) Forget(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.loads {
		if !live[id] && l.outstanding == 0 {
			delete(t.loads, id)
		}
	}
}

// value returns the effective load of a server, in requests. t.mu must be held.
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

// avoided reports whether a server is ordered last now. t.mu must be held.
func (t *Table) avoided(id string, now time.Time) bool {
	l, ok := t.loads[id]
	return ok && now.Before(l.avoidUntil)
}

// Order returns the candidates in the order in which to try them. prefix is the hash of the
// prompt's prefix; 0 means none.
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

// rank returns the sort key that orders avoided servers last and, within each group, servers of the
// process's own hall first.
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

// usable returns the number of leading candidates in order that are not avoided.
func (t *Table) usable(order []Candidate, now time.Time) int {
	i := slices.IndexFunc(order, func(c Candidate) bool { return t.avoided(c.ID, now) })
	if i < 0 {
		return len(order)
	}
	return i
}

// first returns the index of the server to try first: the one preferred for the prefix unless its
// load is over the bound, otherwise the less loaded of two picked at random.
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

// bound returns the highest load at which a preferred server is still chosen: boundFactor times the
// mean, plus one request.
func (t *Table) bound(order []Candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range order {
		sum += t.value(c.ID, now)
	}
	return boundFactor*sum/float64(len(order)) + 1
}

// preferred returns the index of the candidate with the highest rendezvous weight for the prefix.
func (t *Table) preferred(order []Candidate, prefix uint64) int {
	best, bestHash := 0, uint64(0)
	for i, c := range order {
		if h := rendezvous.Weight(c.ID, prefix); h >= bestHash {
			best, bestHash = i, h
		}
	}
	return best
}
