package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rockcleat/clock"
)

// Options configure a Table.
type Options struct {
	Clock clock.Service
	// CrashThreshold is the number of server instances that must crash with a trait before it is quarantined.
	CrashThreshold int
	// Duration is the duration of the first quarantine of a Content; kindRules relates those of other kinds to it.
	Duration time.Duration
	// OnChange, if not nil, is called for each quarantine that begins or ends, without a lock held.
	OnChange func(Change)
}

// A Table holds the traits of requests with which servers have crashed. It is safe for concurrent use.
type Table struct {
	opts Options
	// epoch identifies this Table to peers; it is never 0.
	epoch uint32

	mu sync.Mutex
	// version is the number of changes of entries.
	version uint64
	entries map[Key]*entry
	// quarantined are the traits in quarantine as of the last change.
	quarantined map[Key]struct{}
	// changed are the traits whose entries the current change has modified.
	changed []Key
	// watchers holds the watchers of each trait.
	watchers map[Key]map[*watcher]struct{}
	answers  answerMemory
}

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{
		opts: o, epoch: rand.Uint32() | 1, entries: make(map[Key]*entry), quarantined: make(map[Key]struct{}),
		watchers: make(map[Key]map[*watcher]struct{}), answers: make(answerMemory),
	}
}

// RecordCrash records that a server instance crashed while it ran requests with the given suspects. It leaves out those
// that answers outweigh.
func (t *Table) RecordCrash(server string, suspects ...Suspect) {
	t.change(func(now time.Time) {
		for _, s := range suspects {
			if !s.OnTrial && t.answers.outweigh(s.Key, now) {
				continue
			}
			e := t.entry(s.Key)
			described := e.describe(s.Trait)
			if e.add(server, s.OnTrial, now) || described {
				t.markChanged(s.Key, e)
			}
		}
	})
}

// RecordAnswer records that a server has answered a request with the given traits, which clears their crashes.
func (t *Table) RecordAnswer(traits ...Trait) {
	if !t.rememberAnswer(traits) {
		return
	}
	t.change(func(now time.Time) {
		for _, x := range traits {
			t.clear(x.Key, now)
		}
	})
}

// rememberAnswer remembers an answer to a request with the given traits. It reports whether crashes are recorded for any
// of them.
func (t *Table) rememberAnswer(traits []Trait) (crashed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	for _, x := range traits {
		if ruleOf(x.Kind).remembersAnswers {
			t.answers.add(x.Key, now)
		}
		e := t.entries[x.Key]
		crashed = crashed || e != nil && len(e.servers) > 0
	}
	return crashed
}

// Clear clears the crashes recorded for a trait and reports whether there were any.
func (t *Table) Clear(k Key) (known bool) {
	t.change(func(now time.Time) { known = t.clear(k, now) })
	return known
}

// clear clears the crashes recorded for a trait and reports whether there were any. t.mu must be held.
func (t *Table) clear(k Key, now time.Time) (known bool) {
	e := t.entries[k]
	if e == nil || len(e.servers) == 0 {
		return false
	}
	e.clear(now)
	t.markChanged(k, e)
	return true
}

// Merge merges records of another process, or records that were stored before a restart. It returns the versions of
// the table before and after it. Records that are too old are ignored.
//
// Crashes that answers outweigh are cleared afterwards: the other process does not know that yet.
func (t *Table) Merge(records []Record) (before, after uint64) {
	t.change(func(now time.Time) {
		before = t.version
		var outweighed []Key
		for _, r := range records {
			if t.merge(r, now) && t.answers.outweigh(r.Key, now.Add(-r.age())) {
				outweighed = append(outweighed, r.Key)
			}
		}
		after = t.version
		for _, k := range outweighed {
			t.clear(k, now)
		}
	})
	return before, after
}

// merge merges one record and reports whether there are new crashes that answers may outweigh. t.mu must be held.
func (t *Table) merge(r Record, now time.Time) (mayBeOutweighed bool) {
	at := now.Add(-r.age())
	if now.Sub(at) > t.opts.retentionTime(&entry{kind: r.Kind, servers: r.Servers, trials: r.Trials}) {
		return false
	}
	e := t.entry(r.Key)
	if !e.merge(r, at) {
		return false
	}
	t.markChanged(r.Key, e)
	return len(e.servers) > 0 && !t.opts.isConfirmed(e)
}

// Record returns the record of a trait, and whether there is one.
func (t *Table) Record(k Key) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	if e == nil {
		return Record{}, false
	}
	return e.record(k, t.opts.Clock.Now()), true
}

// Quarantine returns the trait whose quarantine ends last, and when it ends. quarantined is false if none of the traits is
// in quarantine.
func (t *Table) Quarantine(traits ...Trait) (trait Trait, until time.Time, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	for _, x := range traits {
		end, ok := t.until(x.Key, now)
		if ok && end.After(until) {
			trait, until, quarantined = x, end, true
		}
	}
	return trait, until, quarantined
}

// AnsweredRecently reports whether requests with each of the traits were answered so recently that a crash would not count.
func (t *Table) AnsweredRecently(traits ...Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since := t.opts.Clock.Now().Add(-answerWeight)
	for _, x := range traits {
		if r, ok := t.answers[x.Key]; !ok || r.at.Before(since) {
			return false
		}
	}
	return true
}

// Suspects returns those of the traits with which servers have crashed since they were last cleared.
func (t *Table) Suspects(traits ...Trait) []Trait {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Trait
	for _, x := range traits {
		if e := t.entries[x.Key]; e != nil && len(e.servers) > 0 {
			list = append(list, x)
		}
	}
	return list
}

// LikeliestCause returns the trait that most likely makes servers crash, of suspects that one request has, in the order of
// its prompt: one that was cleared least often, then one with which most servers have crashed, then the last one, which
// fewer requests share.
func (t *Table) LikeliestCause(suspects []Trait) Trait {
	t.mu.Lock()
	defer t.mu.Unlock()
	reversed := slices.Clone(suspects)
	slices.Reverse(reversed)
	return slices.MinFunc(reversed, t.compareSuspicion)
}

// compareSuspicion orders traits by how likely they are to make servers crash, the likeliest first. t.mu must be held.
func (t *Table) compareSuspicion(a, b Trait) int {
	x, y := t.entries[a.Key], t.entries[b.Key]
	if x == nil || y == nil {
		return 0
	}
	return cmp.Or(cmp.Compare(x.generation, y.generation), cmp.Compare(len(y.servers), len(x.servers)))
}

// Crashes returns the number of server instances that have crashed with a trait.
func (t *Table) Crashes(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[k]; e != nil {
		return len(e.servers)
	}
	return 0
}

// LacksOnlyTrials reports whether enough servers for a quarantine have crashed with a trait, but too few of them in trials.
func (t *Table) LacksOnlyTrials(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k]
	return e != nil && len(e.servers) >= t.opts.CrashThreshold && !t.opts.isConfirmed(e)
}

// Expire removes records that are too old and ends quarantines whose time has passed.
func (t *Table) Expire() { t.change(t.expire) }

// change calls f with the table locked. Then, without the lock, it calls the watchers and OnChange for the
// quarantines that have begun or ended.
func (t *Table) change(f func(now time.Time)) {
	t.mu.Lock()
	now := t.opts.Clock.Now()
	t.changed = t.changed[:0]
	f(now)
	t.evictExcess()
	changes := t.transitions(now)
	var watchers []*watcher
	for _, c := range changes {
		if c.Kind == Began {
			watchers = append(watchers, slices.Collect(maps.Keys(t.watchers[c.Trait.Key]))...)
			delete(t.watchers, c.Trait.Key)
		}
	}
	t.mu.Unlock()
	for _, w := range watchers {
		w.f()
	}
	if t.opts.OnChange == nil {
		return
	}
	for _, c := range changes {
		t.opts.OnChange(c)
	}
}

// entry returns the entry of a trait and creates it if there is none. t.mu must be held.
func (t *Table) entry(k Key) *entry {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
	}
	return e
}

// markChanged marks the entry of a trait as changed. t.mu must be held.
func (t *Table) markChanged(k Key, e *entry) {
	t.version++
	e.version = t.version
	t.changed = append(t.changed, k)
}

// until returns the time at which the quarantine of a trait ends, and whether that is after now. t.mu must be
// held.
func (t *Table) until(k Key, now time.Time) (time.Time, bool) {
	e := t.entries[k]
	if e == nil || !t.opts.isConfirmed(e) {
		return time.Time{}, false
	}
	end := e.lastEvent.Add(t.opts.quarantineTime(e))
	return end, now.Before(end)
}

// transitions updates t.quarantined and returns the quarantines that have begun or ended. t.mu must be held.
func (t *Table) transitions(now time.Time) []Change {
	var list []Change
	for _, k := range t.changed {
		until, quarantined := t.until(k, now)
		if _, known := t.quarantined[k]; quarantined && !known {
			e := t.entries[k]
			list = append(list, Change{Trait: e.trait(k), Kind: Began, Servers: slices.Clone(e.servers), Until: until})
			t.quarantined[k] = struct{}{}
		}
	}
	for k := range t.quarantined {
		if _, quarantined := t.until(k, now); quarantined {
			continue
		}
		delete(t.quarantined, k)
		c := Change{Trait: ContentTrait(k), Kind: Expired}
		if e := t.entries[k]; e != nil {
			c.Trait = e.trait(k)
			if len(e.servers) == 0 {
				c.Kind = Cleared
			}
		}
		list = append(list, c)
	}
	return list
}

// expire removes the entries that are too old. t.mu must be held.
func (t *Table) expire(now time.Time) {
	for k, e := range t.entries {
		if now.Sub(e.lastEvent) > t.opts.retentionTime(e) {
			delete(t.entries, k)
		}
	}
	t.answers.expire(now)
}

// evictExcess reduces a table with more than maxRecords entries to recordsAfterEviction. Entries with the fewest
// crashes, and among these the oldest, are removed first. t.mu must be held.
func (t *Table) evictExcess() {
	if len(t.entries) <= maxRecords {
		return
	}
	keys := slices.SortedFunc(maps.Keys(t.entries), func(a, b Key) int {
		x, y := t.entries[a], t.entries[b]
		return cmp.Or(cmp.Compare(len(x.servers), len(y.servers)), x.lastEvent.Compare(y.lastEvent))
	})
	for _, k := range keys[:len(keys)-recordsAfterEviction] {
		delete(t.entries, k)
	}
}
