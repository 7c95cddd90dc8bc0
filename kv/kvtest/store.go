// Package kvtest provides an in-memory key-value store for tests. It can make calls fail, drop
// responses, compact its history and be restored from a backup.
package kvtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/kv"
)

// A Store is an in-memory kv.Store and kv.PrefixStore. It is safe for concurrent use.
type Store struct {
	clock clock.Service

	mu           sync.Mutex
	rev          kv.Revision
	entries      map[string]entry
	history      []kv.Event
	floor        kv.Revision
	leases       map[kv.LeaseID]*leaseState
	fail         func(call string) error
	loseResponse func(call string) bool
	calls        map[string]int
	changed      chan struct{}
	// era is the current era; the functions in onEra are called with each new one.
	era   int64
	onEra []func(era int64)
}

type entry struct {
	kv.Entry
	lease kv.LeaseID
}

type leaseState struct {
	ttl time.Duration
	end time.Time
}

// New returns an empty store whose leases expire by c.
func New(c clock.Service) *Store {
	return &Store{
		clock: c, entries: make(map[string]entry), leases: make(map[kv.LeaseID]*leaseState),
		calls: make(map[string]int), changed: make(chan struct{}),
	}
}

// Fail makes each call return the error of f, if not nil, without any effect. A nil f removes it.
func (s *Store) Fail(f func(call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail = f
	s.notify()
}

// Lose makes each call for which f returns true take effect and return kv.ErrUnknown.
func (s *Store) Lose(f func(call string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponse = f
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.rev
	s.notify()
}

// A Copy is a backup of a Store: its entries and its count of writes.
type Copy struct {
	count   int64
	entries map[string]entry
}

// Copy returns a backup of the store, without leases and the entries attached to them.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{count: s.rev.Count(), entries: make(map[string]entry)}
	for key, e := range s.entries {
		if e.lease == 0 {
			c.entries[key] = e
		}
	}
	return c
}

// Restore replaces the contents with a backup and starts the next era. Later writes and all leases
// are lost, and counts of writes are used again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	s.era++
	s.rev = kv.NewRevision(s.era, c.count)
	s.entries = make(map[string]entry, len(c.entries))
	for key, e := range c.entries {
		e.Revision = kv.NewRevision(s.era, e.Revision.Count())
		s.entries[key] = e
	}
	s.history, s.floor, s.leases = nil, s.rev, make(map[kv.LeaseID]*leaseState)
	era, subscribers := s.era, slices.Clone(s.onEra)
	s.notify()
	s.mu.Unlock()
	for _, f := range subscribers {
		f(era)
	}
}

// OnEra registers f to be called with each new era.
func (s *Store) OnEra(f func(era int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onEra = append(s.onEra, f)
}

// Era returns the current era.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls returns the number of calls of a kind so far, such as "watch" or "put".
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// begin counts a call, expires leases and returns the error that the call must return, if any. s.mu
// must be held, as in all unexported methods.
func (s *Store) begin(call string) error {
	s.calls[call]++
	s.expire()
	if s.fail != nil {
		return s.fail(call)
	}
	return nil
}

func (s *Store) end(call string) error {
	if s.loseResponse != nil && s.loseResponse(call) {
		return kv.ErrUnknown
	}
	return nil
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) appendEvent(e kv.Event) {
	s.history = append(s.history, e)
	s.notify()
}

func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys.
func (s *Store) endLease(id kv.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.rev++
	delete(s.entries, key)
	s.appendEvent(kv.Event{Entry: kv.Entry{Key: key, Revision: s.rev}, Deleted: true})
}

// Set writes a key unconditionally, as another client would. It is not counted as a call.
func (s *Store) Set(key string, value []byte) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, value, 0)
}

// Remove deletes a key unconditionally, as another client would. It is not counted as a call.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) set(key string, value []byte, lease kv.LeaseID) kv.Revision {
	s.rev++
	e := kv.Entry{Key: key, Value: value, Revision: s.rev}
	s.entries[key] = entry{Entry: e, lease: lease}
	s.appendEvent(kv.Event{Entry: e})
	return s.rev
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("get"); err != nil {
		return kv.Entry{}, err
	}
	e, ok := s.entries[key]
	if !ok {
		return kv.Entry{}, kv.ErrNotFound
	}
	return e.Entry, s.end("get")
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	entries, _, err := s.ListPrefix(ctx, prefix)
	return entries, err
}

// ListPrefix implements kv.PrefixStore.
func (s *Store) ListPrefix(_ context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("list"); err != nil {
		return nil, 0, err
	}
	var list []kv.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, e.Entry)
		}
	}
	slices.SortFunc(list, func(a, b kv.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, s.rev, s.end("list")
}

// WatchPrefix implements kv.PrefixStore.
func (s *Store) WatchPrefix(
	ctx context.Context, prefix string, after kv.Revision, wait time.Duration,
) ([]kv.Event, kv.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	err := s.begin("watch")
	s.mu.Unlock()
	for err == nil {
		s.mu.Lock()
		events, at, changed := s.since(prefix, after)
		compacted := after < s.floor || after > s.rev
		if s.fail != nil {
			err = s.fail("watch")
		}
		s.mu.Unlock()
		if err != nil {
			break
		}
		if compacted {
			return nil, after, kv.ErrCompacted
		}
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
	return nil, after, err
}

func (s *Store) since(prefix string, after kv.Revision) ([]kv.Event, kv.Revision, chan struct{}) {
	var events []kv.Event
	for _, e := range s.history {
		if e.Entry.Revision > after && strings.HasPrefix(e.Entry.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.rev, s.changed
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, key string, after kv.Revision, wait time.Duration) (kv.Entry, error) {
	if _, _, err := s.WatchPrefix(ctx, key, after, wait); err != nil {
		return kv.Entry{}, err
	}
	return s.Get(ctx, key)
}

// Put implements kv.Store.
func (s *Store) Put(_ context.Context, w kv.Write) (kv.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("put"); err != nil {
		return 0, err
	}
	if w.Expect != kv.Any && s.entries[w.Key].Revision != w.Expect {
		return 0, kv.ErrConflict
	}
	if w.Lease != 0 && s.leases[w.Lease] == nil {
		return 0, kv.ErrLeaseGone
	}
	rev := s.set(w.Key, w.Value, w.Lease)
	return rev, s.end("put")
}

// Delete implements kv.Store.
func (s *Store) Delete(_ context.Context, key string, expect kv.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("delete"); err != nil {
		return err
	}
	if expect != kv.Any && s.entries[key].Revision != expect {
		return kv.ErrConflict
	}
	s.remove(key)
	return s.end("delete")
}

// Grant implements kv.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("grant"); err != nil {
		return 0, err
	}
	s.rev++
	id := kv.LeaseID(s.rev.Count())
	s.leases[id] = &leaseState{ttl: ttl, end: s.clock.Now().Add(ttl)}
	return id, s.end("grant")
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("keep"); err != nil {
		return err
	}
	l := s.leases[id]
	if l == nil {
		return kv.ErrLeaseGone
	}
	l.end = s.clock.Now().Add(l.ttl)
	return s.end("keep")
}

// Revoke implements kv.Store.
func (s *Store) Revoke(_ context.Context, id kv.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("revoke"); err != nil {
		return err
	}
	s.endLease(id)
	return s.end("revoke")
}
