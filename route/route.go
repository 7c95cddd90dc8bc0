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
	// loadBoundFactor is the ratio to the mean load up to which a prefix keeps its preferred
	// server.
	loadBoundFactor = 1.25
	// reportTTL is how long a reported load is used.
	reportTTL = 5 * time.Second
	// avoidDuration is how long a server that failed or refused a request is ordered last.
	avoidDuration = time.Second
)

// A Candidate is a server that can take a request.
type Candidate struct {
	ID   string
	Hall string
}

// A serverState is what a Table knows about one server.
type serverState struct {
	// reported is the load in the server's last response, in requests, and reportedAt the time of
	// that response.
	reported   int
	reportedAt time.Time
	// outstanding is the number of requests that this process has sent there and not finished.
	outstanding int
	avoidUntil  time.Time
	// leavingIncarnation is the incarnation that reported that it is draining; empty if none did.
	leavingIncarnation string
}

// A Table holds the loads of the servers that a process has sent requests to. It is safe for
// concurrent use; its zero value is empty.
type Table struct {
	// Hall is the data hall of the process. Its servers are tried before those of other halls.
	Hall string

	mu      sync.Mutex
	servers map[string]*serverState
}

// state returns the state of a server, creating it if needed. t.mu must be held.
func (t *Table) state(id string) *serverState {
	if t.servers == nil {
		t.servers = make(map[string]*serverState)
	}
	s, ok := t.servers[id]
	if !ok {
		s = &serverState{}
		t.servers[id] = s
	}
	return s
}

// Begin counts a request as outstanding at a server. The caller must call end exactly once.
func (t *Table) Begin(id string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.outstanding++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		s.outstanding--
	}
}

// Report records the load that a server put in a response, in requests.
func (t *Table) Report(id string, load int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.reported, s.reportedAt = load, now
}

// Avoid orders a server after all others for avoidDuration.
func (t *Table) Avoid(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).avoidUntil = now.Add(avoidDuration)
}

// Leave records that an incarnation of a server reported that it is draining.
func (t *Table) Leave(id, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(id).leavingIncarnation = incarnation
}

// Leaving reports whether Leave was last called for this incarnation of the server.
func (t *Table) Leaving(id, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.servers[id]
	return ok && s.leavingIncarnation != "" && s.leavingIncarnation == incarnation
}

// Forget removes the servers that are not in live and have no outstanding requests.
func (t *Table) Forget(live map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.servers {
		if !live[id] && s.outstanding == 0 {
			delete(t.servers, id)
		}
	}
}

// effectiveLoad returns the load of a server that the choice uses: the greater of the outstanding
// requests and a recent report. t.mu must be held.
func (t *Table) effectiveLoad(id string, now time.Time) float64 {
	s, ok := t.servers[id]
	if !ok {
		return 0
	}
	v := float64(s.outstanding)
	if now.Sub(s.reportedAt) < reportTTL {
		v = max(v, float64(s.reported))
	}
	return v
}

// isAvoided reports whether a server is ordered last now. t.mu must be held.
func (t *Table) isAvoided(id string, now time.Time) bool {
	s, ok := t.servers[id]
	return ok && now.Before(s.avoidUntil)
}

// Order returns the candidates in the order in which to try them. prefix is the hash of the
// prompt's prefix; 0 means none.
func (t *Table) Order(candidates []Candidate, prefix uint64, now time.Time) []Candidate {
	order := slices.Clone(candidates)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(order, func(a, b Candidate) int { return cmp.Compare(t.rank(a, now), t.rank(b, now)) })
	usableCount := t.countUsable(order, now)
	if firstIndex := t.pickFirst(order[:usableCount], prefix, now); firstIndex > 0 {
		c := order[firstIndex]
		order = slices.Insert(slices.Delete(order, firstIndex, firstIndex+1), 0, c)
	}
	return order
}

// rank returns the sort key that orders avoided servers last and, within each group, servers of the
// process's own hall first.
func (t *Table) rank(c Candidate, now time.Time) int {
	rank := 0
	if t.isAvoided(c.ID, now) {
		rank += 2
	}
	if c.Hall != t.Hall {
		rank++
	}
	return rank
}

// countUsable returns the number of leading candidates in order that are not avoided.
func (t *Table) countUsable(order []Candidate, now time.Time) int {
	i := slices.IndexFunc(order, func(c Candidate) bool { return t.isAvoided(c.ID, now) })
	if i < 0 {
		return len(order)
	}
	return i
}

// pickFirst returns the index of the server to try first: the one preferred for the prefix unless
// its load is over the bound, otherwise the less loaded of two picked at random.
func (t *Table) pickFirst(order []Candidate, prefix uint64, now time.Time) int {
	if len(order) < 2 {
		return 0
	}
	if prefix != 0 {
		if i := t.preferredIndex(order, prefix); t.effectiveLoad(order[i].ID, now) <= t.loadBound(order, now) {
			return i
		}
	}
	i, j := rand.IntN(len(order)), rand.IntN(len(order))
	if t.effectiveLoad(order[j].ID, now) < t.effectiveLoad(order[i].ID, now) {
		return j
	}
	return i
}

// loadBound returns the highest load at which a preferred server is still chosen: loadBoundFactor
// times the mean, plus one request.
func (t *Table) loadBound(order []Candidate, now time.Time) float64 {
	sum := 0.0
	for _, c := range order {
		sum += t.effectiveLoad(c.ID, now)
	}
	return loadBoundFactor*sum/float64(len(order)) + 1
}

// preferredIndex returns the index of the candidate with the highest rendezvous weight for the
// prefix.
func (t *Table) preferredIndex(order []Candidate, prefix uint64) int {
	best, bestWeight := 0, uint64(0)
	for i, c := range order {
		if weight := rendezvous.Weight(c.ID, prefix); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
