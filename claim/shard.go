package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
	"rockcleat/kv"
)

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

// A Shard is one shard in the process that owns it; it is safe for concurrent use.
type Shard struct {
	store kv.Store
	clock clock.Service
	opts  Options

	mu   sync.Mutex
	open bool
	// records holds the latest record of each key.
	records map[string]Record
	// pending are the records for the next write, and waiters wait for it.
	pending []Record
	waiters []chan error
	// next is the number of the next slot.
	next    uint64
	flushed time.Time
	wake    chan struct{}

	// leaseID is the lease that ends the records' time, granted when it was granted.
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

// shut closes the shard and ends every wait; s.mu is held.
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
// request must not be sent. An error says that the request must not be sent
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

// await waits for the outcome of a write.
func await(ctx context.Context, wait <-chan error) error {
	select {
	case err := <-wait:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrNotRecorded, ctx.Err().Error())
	}
}
