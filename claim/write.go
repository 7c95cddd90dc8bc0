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

// Step writes the pending records, if there are any and Options.FlushEvery has passed since the last
// write. It must be called regularly, by one goroutine at a time.
func (s *Shard) Step(ctx context.Context) error {
	now := s.clock.Now()
	s.mu.Lock()
	if !s.open || len(s.pending) == 0 || now.Sub(s.lastFlush) < s.opts.FlushEvery {
		s.mu.Unlock()
		return nil
	}
	records, waiters := s.pending, s.waiters
	s.pending, s.waiters = nil, nil
	s.lastFlush = now
	s.mu.Unlock()
	err := s.write(ctx, records)
	for _, w := range waiters {
		w <- err
	}
	s.prune(now)
	return err
}

// write writes the records to the next slot. It retries until the outcome is known or ctx ends. An
// unknown outcome closes the shard.
func (s *Shard) write(ctx context.Context, records []Record) error {
	value, err := json.Marshal(batch{Owner: s.opts.Owner, Records: records})
	if err != nil {
		return eris.Wrap(err, "claim: encode batch")
	}
	id, err := s.recordLease(ctx)
	if err != nil {
		s.revertClaims(records)
		return eris.Wrap(ErrNotRecorded, err.Error())
	}
	// The shard's lease is checked after the records' lease was granted. If the process pauses
	// after the check until the slots of the next owner have expired, the records' lease has
	// expired before them and the service rejects the write.
	if !s.opts.Held() {
		s.Close()
		return ErrNotOwner
	}
	key := s.slotKey(s.nextSlot)
	for {
		_, err = s.store.Put(ctx, kv.Write{Key: key, Value: value, Expect: kv.Absent, Lease: id})
		if errors.Is(err, kv.ErrConflict) {
			err = s.resolveConflict(ctx, key, value)
		}
		if err == nil {
			s.nextSlot++
			return nil
		}
		if !errors.Is(err, kv.ErrUnknown) || ctx.Err() != nil {
			break
		}
	}
	if kv.IsNotWritten(err) && !errors.Is(err, kv.ErrConflict) {
		s.discardRecordLease()
		s.revertClaims(records)
		return eris.Wrap(ErrNotRecorded, err.Error())
	}
	s.Close()
	return eris.Wrap(ErrNotOwner, err.Error())
}

// resolveConflict returns nil if the slot holds this shard's own write, whose response was lost, and
// kv.ErrConflict if it holds another owner's. If the slot cannot be read, it returns kv.ErrUnknown.
func (s *Shard) resolveConflict(ctx context.Context, key string, value []byte) error {
	e, err := s.store.Get(ctx, key)
	if err != nil {
		return eris.Wrap(kv.ErrUnknown, err.Error())
	}
	if slices.Equal(e.Value, value) {
		return nil
	}
	return kv.ErrConflict
}

// revertClaims frees the keys of claims that were certainly not written. Records of finished or released
// requests remain in memory.
func (s *Shard) revertClaims(records []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		current, ok := s.records[r.Key]
		if !ok || current.Attempt != r.Attempt {
			continue
		}
		if r.State == StateClaimed {
			current.State = StateFree
			s.records[r.Key] = current
		}
	}
}

// recordLease returns the lease that limits the records' lifetime. A lease is granted for twice the
// retention and used for new records for one retention period, so that each record is kept for at
// least that period.
func (s *Shard) recordLease(ctx context.Context) (kv.LeaseID, error) {
	now := s.clock.Now()
	s.mu.Lock()
	id, leaseGranted := s.leaseID, s.leaseGranted
	s.mu.Unlock()
	if id != 0 && now.Sub(leaseGranted) < s.opts.Retention {
		return id, nil
	}
	id, err := s.store.Grant(ctx, 2*s.opts.Retention)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.leaseID, s.leaseGranted = id, now
	s.mu.Unlock()
	return id, nil
}

// discardRecordLease makes the next write request a new lease for its records.
func (s *Shard) discardRecordLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID = 0
}

// prune removes records older than twice the retention, which the service has deleted as well.
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
