package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
	"rockcleat/kv"
	"rockcleat/route"
)

// Outcomes of a claim besides its record.
var (
	// ErrNotOwner tells that the process does not own the shard now.
	ErrNotOwner = errors.New("claim: not the owner of the shard")
	// ErrNotRecorded tells that the claim was not recorded in time; the request must not be sent.
	ErrNotRecorded = errors.New("claim: not recorded")
)

// A State is the state of a claimed request.
type State string

// The states of a record.
const (
	// StateClaimed: the request may have been sent.
	StateClaimed State = "claimed"
	// StateDone: the request was answered.
	StateDone State = "done"
	// StateFree: the request was surely not run; the key may be claimed anew.
	StateFree State = "free"
)

// An Answer is the answer that a record keeps of a request.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	// Body is kept only if it is short; see MaxBody.
	Body []byte `json:"body,omitempty"`
	// Whole tells that Body is the whole answer.
	Whole bool `json:"whole,omitempty"`
}

// MaxBody is the longest answer that a record keeps, in bytes.
const MaxBody = 1024

// A Record is what is kept of one key.
type Record struct {
	Key string `json:"key"`
	// Fingerprint tells whether a later request with the key is the same one.
	Fingerprint uint64  `json:"fp"`
	State       State   `json:"state"`
	Attempt     string  `json:"attempt"`
	At          int64   `json:"at"`
	Answer      *Answer `json:"answer,omitempty"`
}

// batch is the value of one slot.
type batch struct {
	Owner   string   `json:"owner"`
	Records []Record `json:"records"`
}

// ShardOf returns the shard of a key.
func ShardOf(key string, shards int) int {
	return int(route.Hash(key) % uint64(shards))
}

// Options configure a Shard.
type Options struct {
	// Index is the shard's number.
	Index int
	// Owner names the process and its start, so that two owners' slots differ.
	Owner string
	// Retention is how long records are kept at least.
	Retention time.Duration
	// FlushEvery is the shortest time between two writes.
	FlushEvery time.Duration
	// Held reports whether the process surely still holds the shard's lease.
	Held func() bool
}

// A Shard is the owner's side of one shard; it is safe for concurrent use.
type Shard struct {
	store kv.Store
	clock clock.Service
	opts  Options

	mu      sync.Mutex
	open    bool
	records map[string]Record
	pending []Record
	waiters []chan error
	next    uint64
	flushed time.Time
	wake    chan struct{}

	leaseID kv.LeaseID
	granted time.Time
}

// NewShard returns a Shard that is closed until Open succeeds.
func NewShard(store kv.Store, c clock.Service, o Options) *Shard {
	return &Shard{store: store, clock: c, opts: o, wake: make(chan struct{}, 1)}
}

// Wake returns a channel that has a value when records wait to be written.
func (s *Shard) Wake() <-chan struct{} { return s.wake }

// Due returns how long to wait until Step may write again.
func (s *Shard) Due() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.opts.FlushEvery-s.clock.Now().Sub(s.flushed), 0)
}

func (s *Shard) prefix() string { return fmt.Sprintf("claim/%04d/", s.opts.Index) }

func (s *Shard) slotKey(n uint64) string { return fmt.Sprintf("%s%020d", s.prefix(), n) }

// Open reads the shard's records and takes its next slot, which shuts out any
// former owner. It is to be called when the shard's lease has been acquired.
func (s *Shard) Open(ctx context.Context) error {
	entries, err := s.store.List(ctx, s.prefix())
	if err != nil {
		return err
	}
	records, next, err := replay(entries, s.prefix())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.records, s.next, s.pending = records, next, nil
	s.leaseID = 0
	s.mu.Unlock()
	if err := s.write(ctx, nil); err != nil {
		return err
	}
	s.mu.Lock()
	s.open = true
	s.mu.Unlock()
	return nil
}

// replay returns the latest record of each key and the first empty slot.
func replay(entries []kv.Entry, prefix string) (map[string]Record, uint64, error) {
	records := make(map[string]Record)
	next := uint64(0)
	for _, e := range entries {
		var n uint64
		if _, err := fmt.Sscanf(e.Key[len(prefix):], "%d", &n); err != nil {
			return nil, 0, eris.Wrapf(err, "claim: slot %q", e.Key)
		}
		next = max(next, n+1)
		var b batch
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return nil, 0, eris.Wrapf(err, "claim: slot %q", e.Key)
		}
		for _, r := range b.Records {
			records[r.Key] = r
		}
	}
	return records, next, nil
}

// Close makes the shard refuse claims; it is to be called when the lease is lost.
func (s *Shard) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut()
}

// shut closes the shard and tells everyone who waits; s.mu is held.
func (s *Shard) shut() {
	s.open = false
	for _, w := range s.waiters {
		w <- ErrNotOwner
	}
	s.waiters, s.pending = nil, nil
}

// IsOpen reports whether the shard takes claims.
func (s *Shard) IsOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Claim records that the attempt is about to send the key's request.
//
// If the key has a record already Claim returns it with fresh false, and the
// request must not be sent. An error tells that the request must not be sent
// and that the key may or may not be claimed by the attempt.
func (s *Shard) Claim(ctx context.Context, key string, fingerprint uint64, attempt string) (r Record, fresh bool, err error) {
	s.mu.Lock()
	if !s.open {
		s.mu.Unlock()
		return Record{}, false, ErrNotOwner
	}
	if old, ok := s.records[key]; ok && old.State != StateFree {
		s.mu.Unlock()
		// A former owner may have recorded this very attempt before it lost the
		// shard; the attempt has not been sent, since its claim had no answer.
		return old, old.Attempt == attempt && old.State == StateClaimed, nil
	}
	r = Record{Key: key, Fingerprint: fingerprint, State: StateClaimed, Attempt: attempt, At: s.clock.Now().Unix()}
	wait := s.enqueue(r)
	s.mu.Unlock()
	if err := await(ctx, wait); err != nil {
		s.Release(key, attempt)
		return Record{}, false, err
	}
	return r, true, nil
}

// Finish records, without waiting, the answer to a claimed request.
func (s *Shard) Finish(key, attempt string, a Answer) {
	if len(a.Body) > MaxBody {
		a.Body, a.Whole = nil, false
	}
	s.update(key, attempt, StateDone, &a)
}

// Release records, without waiting, that the attempt surely did not run.
func (s *Shard) Release(key, attempt string) {
	s.update(key, attempt, StateFree, nil)
}

// update changes the record of an attempt that is still claimed.
func (s *Shard) update(key, attempt string, state State, a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[key]
	if !ok || !s.open || old.Attempt != attempt || old.State != StateClaimed {
		return
	}
	old.State, old.Answer = state, a
	s.enqueue(old)
}

// enqueue puts a record into the next write; s.mu is held.
func (s *Shard) enqueue(r Record) <-chan error {
	s.records[r.Key] = r
	s.pending = append(s.pending, r)
	w := make(chan error, 1)
	s.waiters = append(s.waiters, w)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return w
}

func await(ctx context.Context, wait <-chan error) error {
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrNotRecorded, ctx.Err().Error())
	}
}

// Step writes the pending records, if there are any and the last write is long
// enough ago. It is to be called often, from one goroutine at a time.
func (s *Shard) Step(ctx context.Context) error {
	now := s.clock.Now()
	s.mu.Lock()
	if !s.open || len(s.pending) == 0 || now.Sub(s.flushed) < s.opts.FlushEvery {
		s.mu.Unlock()
		return nil
	}
	records, waiters := s.pending, s.waiters
	s.pending, s.waiters = nil, nil
	s.flushed = now
	s.mu.Unlock()
	err := s.write(ctx, records)
	for _, w := range waiters {
		w <- err
	}
	s.prune(now)
	return err
}

// write fills the next slot with the records and asks again until the outcome
// is known or ctx ends; an unknown outcome closes the shard.
func (s *Shard) write(ctx context.Context, records []Record) error {
	value, err := json.Marshal(batch{Owner: s.opts.Owner, Records: records})
	if err != nil {
		return eris.Wrap(err, "claim: encode batch")
	}
	id, err := s.keeper(ctx)
	if err != nil {
		s.drop(records)
		return eris.Wrap(ErrNotRecorded, err.Error())
	}
	// The lease is asked after the keeper was granted: should this process pause
	// here for so long that the next owner's slots have expired, the keeper has
	// expired before them and the service refuses the write.
	if !s.opts.Held() {
		s.Close()
		return ErrNotOwner
	}
	key := s.slotKey(s.next)
	for {
		_, err = s.store.Put(ctx, kv.Write{Key: key, Value: value, Expect: kv.Absent, Lease: id})
		if errors.Is(err, kv.ErrConflict) {
			err = s.settle(ctx, key, value)
		}
		if err == nil {
			s.next++
			return nil
		}
		if !errors.Is(err, kv.ErrUnknown) || ctx.Err() != nil {
			break
		}
	}
	if kv.IsNotWritten(err) && !errors.Is(err, kv.ErrConflict) {
		s.forgetKeeper()
		s.drop(records)
		return eris.Wrap(ErrNotRecorded, err.Error())
	}
	s.Close()
	return eris.Wrap(ErrNotOwner, err.Error())
}

// settle tells the own write whose answer was lost from another owner's.
func (s *Shard) settle(ctx context.Context, key string, value []byte) error {
	e, err := s.store.Get(ctx, key)
	if err != nil {
		return eris.Wrap(kv.ErrUnknown, err.Error())
	}
	if slices.Equal(e.Value, value) {
		return nil
	}
	return kv.ErrConflict
}

// drop forgets fresh claims that were surely not written; what was written of
// the key before stands.
func (s *Shard) drop(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		now, ok := s.records[r.Key]
		if !ok || now.Attempt != r.Attempt {
			continue
		}
		if r.State == StateClaimed {
			now.State = StateFree
			s.records[r.Key] = now
		}
	}
}

// keeper returns the lease that ends the records' time; it is replaced in time
// for each record to be kept for the retention at least.
func (s *Shard) keeper(ctx context.Context) (kv.LeaseID, error) {
	now := s.clock.Now()
	s.mu.Lock()
	id, granted := s.leaseID, s.granted
	s.mu.Unlock()
	if id != 0 && now.Sub(granted) < s.opts.Retention {
		return id, nil
	}
	id, err := s.store.Grant(ctx, 2*s.opts.Retention)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.leaseID, s.granted = id, now
	s.mu.Unlock()
	return id, nil
}

// forgetKeeper makes the next write ask for a new lease for its records.
func (s *Shard) forgetKeeper() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID = 0
}

// prune forgets records that have been kept for twice the retention, as the
// service does.
func (s *Shard) prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := now.Add(-2 * s.opts.Retention).Unix()
	for key, r := range s.records {
		if r.At < limit {
			delete(s.records, key)
		}
	}
}
