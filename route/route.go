package route

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// boundFactor is how far above the mean load a preferred server may be.
const boundFactor = 1.25

// loadMemory is how long a reported load is believed.
const loadMemory = 5 * time.Second

// avoidMemory is how long a server that failed or refused is put last.
const avoidMemory = time.Second

// A Candidate is a server that may take a request.
type Candidate struct {
	ID   string
	Hall string
}

// load is what is known of one server's work.
type load struct {
	reported    int
	reportedAt  time.Time
	outstanding int
	avoidUntil  time.Time
	leaving     string
}

// A Table holds the load of all servers that a process has dealt with; it is
// safe for concurrent use and its zero value is empty.
type Table struct {
	// Hall is the process's own hall, preferred between equals.
	Hall string

	mu    sync.Mutex
	loads map[string]*load
}

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

// Report takes over the load that a server gave on an answer.
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
	t.entry(id).avoidUntil = now.Add(avoidMemory)
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

func (t *Table) value(id string, now time.Time) float64 {
	l, ok := t.loads[id]
	if !ok {
		return 0
	}
	v := float64(l.outstanding)
	if now.Sub(l.reportedAt) < loadMemory {
		v = max(v, float64(l.reported))
	}
	return v
}

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

func (t *Table) usable(order []Candidate, now time.Time) int {
	i := slices.IndexFunc(order, func(c Candidate) bool { return t.avoided(c.ID, now) })
	if i < 0 {
		return len(order)
	}
	return i
}

// first returns the index of the server to try first.
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

func (t *Table) bound(order []Candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range order {
		sum += t.value(c.ID, now)
	}
	return boundFactor*sum/float64(len(order)) + 1
}

// preferred returns the index with the highest rendezvous hash for the prefix.
func (t *Table) preferred(order []Candidate, prefix uint64) int {
	best, bestHash := 0, uint64(0)
	for i, c := range order {
		if h := Rendezvous(c.ID, prefix); h >= bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// Rendezvous returns the weight of a node for a key; the node with the highest
// weight is the key's own.
func Rendezvous(node string, key uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	return mix(h.Sum64() ^ mix(key))
}

// mix is the finalizer of SplitMix64 (Steele et al., OOPSLA 2014).
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Hash returns the key of a text for Rendezvous and Order.
func Hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
