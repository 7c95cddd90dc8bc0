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

// quarantinePrefix is the prefix of the requests in quarantine among the product's own keys.
const quarantinePrefix = "quarantine/"

// keepInterval is the time between two looks for what the store does not have yet.
const keepInterval = 250 * time.Millisecond

// A storedQuarantine is the value of a request's key in the store.
type storedQuarantine struct {
	quarantine.Record
	// EndedAtMs is when the last server ended, in Unix milliseconds: the age in the record is that at the
	// time of writing.
	EndedAtMs int64 `json:"at"`
}

// A quarantineKeeper keeps the requests in quarantine in the store, so that they outlast the loss of all
// gateways: the leader writes each once, removes it when its quarantine is over, and reads all when it
// begins to lead. Beside it only a gateway reads them that has started anew and finds no other that knows
// them. All else about them is exchanged between gateways.
//
// Its state belongs to the goroutine that calls step.
type quarantineKeeper struct {
	ctx     context.Context
	role    *quarantineRole
	store   Store
	keys    kv.PrefixStore
	lease   interface{ Held() (lease.Token, bool) }
	clock   clock.Service
	log     *zap.Logger
	timeout time.Duration

	// term is that in which the store was read.
	term lease.Token
	// stored are the requests that the store holds, with the number of ends.
	stored map[quarantine.Key]int
	// failing says that the last call failed.
	failing bool
}

// step is called every keepInterval. A new leader reads the store before it writes to it.
func (k *quarantineKeeper) step(now time.Time) {
	token, held := k.lease.Held()
	ctx, cancel := context.WithTimeout(k.ctx, k.timeout)
	defer cancel()
	switch {
	case held && token == k.term:
		k.note(k.save(ctx, now))
	case held:
		k.note(k.load(ctx))
	default:
		k.term = 0
		k.inform(ctx, now)
		return
	}
	if !k.failing {
		k.term = token
	}
}

// inform reads the store in a gateway that nobody has told what is in quarantine: all have started anew.
func (k *quarantineKeeper) inform(ctx context.Context, now time.Time) {
	if !k.role.informed.Load() && now.Sub(k.role.startedAt) > informTime {
		k.note(k.load(ctx))
	}
}

// load reads the store: at the begin of a term, and in a gateway that is not informed.
func (k *quarantineKeeper) load(ctx context.Context) error {
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
			k.log.Warn("stored quarantine not readable, ignored", zap.String("key", e.Key), telemetry.Error(err))
			continue
		}
		s.AgeMs = max(now.UnixMilli()-s.EndedAtMs, 0)
		records = append(records, s.Record)
		k.stored[s.Key] = len(s.Servers)
	}
	k.role.table.Merge(records)
	k.role.informed.Store(true)
	return nil
}

// save writes the requests that are in quarantine and removes those that are not any more, the rest
// after an error with the next step.
func (k *quarantineKeeper) save(ctx context.Context, now time.Time) error {
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

// put writes one request.
func (k *quarantineKeeper) put(ctx context.Context, r quarantine.Record, now time.Time) error {
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

// note logs when calls begin to fail and when they go well again.
func (k *quarantineKeeper) note(err error) {
	if failing := err != nil; failing != k.failing {
		k.failing = failing
		k.log.Info("quarantine kept in the store", zap.Bool("ok", !failing), telemetry.Error(err))
	}
}
