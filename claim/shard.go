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
	// Index is the number of the shard, counted from 0.
	Index int
	// Owner identifies this run of the process. It distinguishes the shard's own batches from those of
	// other owners.
	Owner string
	// Retention is the minimum time for which records are kept.
	Retention time.Duration
	// FlushInterval is the minimum interval between two writes.
	FlushInterval time.Duration
	// HoldsLease reports whether the process certainly still holds the shard's lease.
	HoldsLease func() bool
}

// A Shard holds the records of one shard in a process that may own it. It is safe for concurrent use,
// except that Flush must not be called concurrently with itself.
type Shard struct {
	store kv.Store
	clock clock.Service
	opts  Options

	mu   sync.Mutex
	open bool
	// records holds the latest record of each key.
	records map[string]Record
	// pending holds the records for the next write. Each of the waiters receives its outcome.
	pending []Record
	waiters []chan error
	// nextSlot is the number of the next slot.
	nextSlot uint64
	// lastFlush is the time of the last write.
	lastFlush time.Time
	wake      chan struct{}

	// leaseID is the lease of the key-value service that limits the records' lifetime, 0 if there
	// is none. leaseGranted is the time at which it was granted.
	leaseID      kv.LeaseID
	leaseGranted time.Time
}

// NewShard returns a Shard that rejects claims until Open succeeds.
func NewShard(store kv.Store, c clock.Service, o Options) *Shard {
	return &Shard{store: store, clock: c, opts: o, wake: make(chan struct{}, 1)}
}

// Wake returns a channel that receives a value when records are waiting to be written.
func (s *Shard) Wake() <-chan struct{} { return s.wake }

// FlushDelay returns the time until Flush may write again, 0 if it may write now.
func (s *Shard) FlushDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.opts.FlushInterval-s.clock.Now().Sub(s.lastFlush), 0)
}

func (s *Shard) prefix() string { return fmt.Sprintf("claim/%04d/", s.opts.Index) }

func (s *Shard) slotKey(n uint64) string { return fmt.Sprintf("%s%020d", s.prefix(), n) }

// Open reads the shard's records and writes an empty batch to the next slot, which fences off the
// previous owner. It must be called after the shard's lease has been acquired. A Shard that is open is
// closed first: its pending records belong to the lease that it held before.
func (s *Shard) Open(ctx context.Context) error {
	s.Close()
	entries, err := s.store.List(ctx, s.prefix())
	if err != nil {
		return err
	}
	records, nextSlot, err := replay(entries, s.prefix())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.records, s.nextSlot = records, nextSlot
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

// replay returns the latest record of each key and the number of the first empty slot.
func replay(entries []kv.Entry, prefix string) (map[string]Record, uint64, error) {
	records := make(map[string]Record)
	nextSlot := uint64(0)
	for _, e := range entries {
		var n uint64
		if _, err := fmt.Sscanf(e.Key[len(prefix):], "%d", &n); err != nil {
			return nil, 0, eris.Wrapf(err, "claim: parse number of slot %q", e.Key)
		}
		nextSlot = max(nextSlot, n+1)
		var b batch
		if err := json.Unmarshal(e.Value, &b); err != nil {
			return nil, 0, eris.Wrapf(err, "claim: decode slot %q", e.Key)
		}
		for _, r := range b.Records {
			records[r.Key] = r
		}
	}
	return records, nextSlot, nil
}

// Close makes the shard reject claims. It must be called when the shard's lease is lost.
func (s *Shard) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
}

// closeLocked closes the shard and fails all waiting claims with ErrNotOwner. The caller holds s.mu.
func (s *Shard) closeLocked() {
	s.open = false
	for _, w := range s.waiters {
		w <- ErrNotOwner
	}
	s.waiters, s.pending = nil, nil
}

// IsOpen reports whether the shard accepts claims.
func (s *Shard) IsOpen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// Claim records that the attempt is about to send the request with the given key.
//
// If claimed is true, the attempt holds the claim and may send the request. Otherwise the request must
// not be sent, and r is the existing record of the key. After an error the request must not be sent
// either, and it is unknown whether the attempt holds the claim.
func (s *Shard) Claim(ctx context.Context, key string, fingerprint uint64, attempt string) (r Record, claimed bool, err error) {
	s.mu.Lock()
	if !s.open {
		s.mu.Unlock()
		return Record{}, false, ErrNotOwner
	}
	if existing, ok := s.records[key]; ok && existing.State != StateReleased {
		s.mu.Unlock()
		// A previous owner may have recorded this attempt before it lost the shard. The
		// attempt has not been sent, because its claim was not confirmed.
		return existing, existing.Attempt == attempt && existing.State == StateClaimed, nil
	}
	r = Record{Key: key, Fingerprint: fingerprint, State: StateClaimed, Attempt: attempt, ClaimedAt: s.clock.Now().Unix()}
	outcome := s.enqueue(r)
	s.mu.Unlock()
	if err := await(ctx, outcome); err != nil {
		s.Release(key, attempt)
		return Record{}, false, err
	}
	return r, true, nil
}

// Finish queues a record of the response to a claimed request. It does not wait for the write.
func (s *Shard) Finish(key, attempt string, response Response) {
	if len(response.Body) > MaxBody {
		response.Body, response.Complete = nil, false
	}
	s.update(key, attempt, StateDone, &response)
}

// Release queues a record that the attempt certainly did not run, which frees the key. It does not
// wait for the write.
func (s *Shard) Release(key, attempt string) {
	s.update(key, attempt, StateReleased, nil)
}

// update changes the record of a key if the attempt holds its claim.
func (s *Shard) update(key, attempt string, state State, response *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.records[key]
	if !ok || !s.open || record.Attempt != attempt || record.State != StateClaimed {
		return
	}
	record.State, record.Response = state, response
	s.enqueue(record)
}

// enqueue adds a record to the next write. The returned channel receives the outcome of the write.
// The caller holds s.mu.
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

// await waits for the outcome of a write or for the end of ctx.
func await(ctx context.Context, outcome <-chan error) error {
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return eris.Wrap(ErrNotRecorded, ctx.Err().Error())
	}
}
