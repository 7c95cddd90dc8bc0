package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/quarantine"
)

// quarantinePrefix is the key prefix of the traits in quarantine, relative to the product's own prefix.
const quarantinePrefix = "quarantine/"

// quarantineStepInterval is the interval of quarantineStore.step.
const quarantineStepInterval = 250 * time.Millisecond

// A storedQuarantine is the stored value of a trait in quarantine.
type storedQuarantine struct {
	quarantine.Record
	// EndedAtMs is when the last server crashed, in Unix milliseconds. The age in Record is relative to the time of
	// writing.
	EndedAtMs int64 `json:"at"`
}

// A quarantineStore persists the quarantine in the store, so that it survives the loss of all gateways. The leader
// writes each trait once, deletes it when its quarantine is over, and reads all of them when it becomes the leader.
// Any other gateway reads the store only if it has just started and no other gateway has sent it the quarantine. All
// other updates are exchanged between gateways.
//
// Its state belongs to the goroutine that calls step.
type quarantineStore struct {
	ctx     context.Context
	role    *quarantineRole
	store   Store
	keys    kv.PrefixStore
	lease   interface{ Held() (lease.Token, bool) }
	clock   clock.Service
	log     *zap.Logger
	timeout time.Duration

	// term is the leader token under which the store was last read.
	term lease.Token
	// stored maps the traits in the store to the number of crashes in their records.
	stored map[quarantine.Key]int
	// failing reports whether the last call to the store failed.
	failing bool
}

// step is called every quarantineStepInterval. A new leader reads the store before it writes to it.
func (q *quarantineStore) step(now time.Time) {
	token, held := q.lease.Held()
	ctx, cancel := context.WithTimeout(q.ctx, q.timeout)
	defer cancel()
	switch {
	case held && token == q.term:
		q.logHealth(q.save(ctx, now))
	case held:
		q.logHealth(q.load(ctx))
	default:
		q.term = 0
		q.loadIfUnsynced(ctx, now)
		return
	}
	if !q.failing {
		q.term = token
	}
}

// loadIfUnsynced reads the store if no other gateway has sent the quarantine within quarantineReadDelay.
func (q *quarantineStore) loadIfUnsynced(ctx context.Context, now time.Time) {
	if !q.role.synced.Load() && now.Sub(q.role.startedAt) > quarantineReadDelay {
		q.logHealth(q.load(ctx))
	}
}

// load reads the stored quarantine and merges it into the table.
func (q *quarantineStore) load(ctx context.Context) error {
	entries, _, err := q.keys.ListPrefix(ctx, quarantinePrefix)
	if err != nil {
		return err
	}
	q.stored = make(map[quarantine.Key]int)
	now := q.clock.Now()
	var records []quarantine.Record
	for _, e := range entries {
		var s storedQuarantine
		if err := json.Unmarshal(e.Value, &s); err != nil {
			q.log.Warn("stored quarantine cannot be decoded, ignored", zap.String("key", e.Key), telemetry.Error(err))
			continue
		}
		s.AgeMs = max(now.UnixMilli()-s.EndedAtMs, 0)
		records = append(records, s.Record)
		q.stored[s.Key] = crashCount(s.Record)
	}
	q.role.table.Merge(records)
	q.role.synced.Store(true)
	return nil
}

// save writes new and changed entries and deletes expired ones. After an error, the next step continues.
func (q *quarantineStore) save(ctx context.Context, now time.Time) error {
	quarantined := make(map[quarantine.Key]bool)
	for _, r := range q.role.table.Quarantined() {
		quarantined[r.Key] = true
		if q.stored[r.Key] == crashCount(r) {
			continue
		}
		if err := q.put(ctx, r, now); err != nil {
			return err
		}
	}
	for key := range q.stored {
		if quarantined[key] {
			continue
		}
		if err := q.store.Delete(ctx, quarantinePrefix+key.String(), kv.Any); err != nil {
			return err
		}
		delete(q.stored, key)
	}
	return nil
}

// put writes the entry of one trait.
func (q *quarantineStore) put(ctx context.Context, r quarantine.Record, now time.Time) error {
	value, err := json.Marshal(storedQuarantine{Record: r, EndedAtMs: now.UnixMilli() - r.AgeMs})
	if err != nil {
		return eris.Wrap(err, "gateway: encode quarantine")
	}
	if _, err := q.store.Put(ctx, kv.Write{Key: quarantinePrefix + r.Key.String(), Value: value, Expect: kv.Any}); err != nil {
		return err
	}
	q.stored[r.Key] = crashCount(r)
	return nil
}

// crashCount returns the number of crashes that a record lists. It grows whenever a quarantine is prolonged.
func crashCount(r quarantine.Record) int { return len(r.Servers) + len(r.Trials) }

// logHealth logs the first failure of a series, and the first success after it.
func (q *quarantineStore) logHealth(err error) {
	if failing := err != nil; failing != q.failing {
		q.failing = failing
		q.log.Info("access to the stored quarantine", zap.Bool("ok", !failing), telemetry.Error(err))
	}
}
