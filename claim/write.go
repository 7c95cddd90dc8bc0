package claim

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/kv"
)

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

// settle finds out whether a slot holds the own write, whose answer was lost, or another
// owner's.
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
