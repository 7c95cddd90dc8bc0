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

// quarantinePrefix is the key prefix of the requests in quarantine, relative to the product's own prefix.
const quarantinePrefix = "quarantine/"

// quarantineStepInterval is the interval of quarantineStore.step.
const quarantineStepInterval = 250 * time.Millisecond

// A storedQuarantine is the stored value of a request in quarantine.
type storedQuarantine struct {
	quarantine.Record
	// EndedAtMs is when the last server terminated, in Unix milliseconds. The age in Record is relative to the time of
	// writing.
	EndedAtMs int64 `json:"at"`
}

// A quarantineStore persists the quarantine in the store, so that it survives the loss of all gateways. The leader writes
// each request once, deletes it when its quarantine is over, and reads all of them when it becomes the leader. Any
// other gateway reads the store only if it has just started and no other gateway has sent it the quarantine. All other
// updates are exchanged between gateways.
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
	// stored maps the requests in the store to their number of terminated servers.
	stored map[quarantine.Key]int
	// failing says that the last call to the store failed.
	failing bool
}

// step is called every quarantineStepInterval. A new leader reads the store before it writes to it.
func (k *quarantineStore) step(now time.Time) {
	token, held := k.lease.Held()
	ctx, cancel := context.WithTimeout(k.ctx, k.timeout)
	defer cancel()
	switch {
	case held && token == k.term:
		k.logHealth(k.save(ctx, now))
	case held:
		k.logHealth(k.load(ctx))
	default:
		k.term = 0
		k.loadIfUnsynced(ctx, now)
		return
	}
	if !k.failing {
		k.term = token
	}
}

// loadIfUnsynced reads the store if no other gateway has sent the quarantine within quarantineReadDelay.
func (k *quarantineStore) loadIfUnsynced(ctx context.Context, now time.Time) {
	if !k.role.synced.Load() && now.Sub(k.role.startedAt) > quarantineReadDelay {
		k.logHealth(k.load(ctx))
	}
}

// load reads the stored quarantine and merges it into the table.
func (k *quarantineStore) load(ctx context.Context) error {
	entries, _, err := k.keys.ListPrefix(ctx, quarantinePrefix)
	if err != nil {
		return err
	}
	k.stored = make(map[quarantine.Key]int)
	now := k.clock.Now()
	var records []quarantine.Record
	for _, e := range entries {
		var s storedQuarantine
		if err := json.Unmarshal(e.Value, &s); err != nil {
			k.log.Warn("stored quarantine cannot be decoded, ignored", zap.String("key", e.Key), telemetry.Error(err))
			continue
		}
		s.AgeMs = max(now.UnixMilli()-s.EndedAtMs, 0)
		records = append(records, s.Record)
		k.stored[s.Key] = len(s.Servers)
	}
	k.role.table.Merge(records)
	k.role.synced.Store(true)
	return nil
}

// save writes new and changed entries and deletes expired ones. After an error, the next step continues.
func (k *quarantineStore) save(ctx context.Context, now time.Time) error {
	held := make(map[quarantine.Key]bool)
	for _, r := range k.role.table.Held() {
		held[r.Key] = true
		if k.stored[r.Key] == len(r.Servers) {
			continue
		}
		if err := k.put(ctx, r, now); err != nil {
			return err
		}
	}
	for key := range k.stored {
		if held[key] {
			continue
		}
		if err := k.store.Delete(ctx, quarantinePrefix+key.String(), kv.Any); err != nil {
			return err
		}
		delete(k.stored, key)
	}
	return nil
}

// put writes the entry of one request.
func (k *quarantineStore) put(ctx context.Context, r quarantine.Record, now time.Time) error {
	value, err := json.Marshal(storedQuarantine{Record: r, EndedAtMs: now.UnixMilli() - r.AgeMs})
	if err != nil {
		return eris.Wrap(err, "gateway: encode quarantine")
	}
	if _, err := k.store.Put(ctx, kv.Write{Key: quarantinePrefix + r.Key.String(), Value: value, Expect: kv.Any}); err != nil {
		return err
	}
	k.stored[r.Key] = len(r.Servers)
	return nil
}

// logHealth logs the first failure of a series, and the first success after it.
func (k *quarantineStore) logHealth(err error) {
	if failing := err != nil; failing != k.failing {
		k.failing = failing
		k.log.Info("access to the stored quarantine", zap.Bool("ok", !failing), telemetry.Error(err))
	}
}
