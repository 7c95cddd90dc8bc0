package agent

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"rockcleat/kv"
	"rockcleat/ledger"
)

// recordPrefix is the prefix of agents' records in the key-value service.
const recordPrefix = "agent/"

// errSuperseded is returned if another agent has taken over the backend server.
var errSuperseded = errors.New("agent: superseded by another agent of the backend server")

// errNoFence is returned while the agent has no fencing token.
var errNoFence = errors.New("agent: no fencing token yet")

// A recordValue is the stored record of one backend server.
type recordValue struct {
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token of the orders of this incarnation.
	Fence   int64           `json:"fence"`
	Intents []ledger.Intent `json:"intents"`
}

// A record gives an agent exclusive control of its backend server. Only the agent that last took
// over the key can write it, and no order is sent before its intent is written. A superseded agent
// therefore cannot record new orders, and its earlier ones are in the record that its successor has
// read.
type record struct {
	store       kv.Store
	key         string
	incarnation string
	revision    kv.Revision
	value       recordValue
	hasFence    bool
	superseded  bool
}

func newRecord(store kv.Store, id, incarnation string) *record {
	return &record{store: store, key: recordPrefix + id, incarnation: incarnation}
}

// takeOver takes over the record under a new fencing token and returns the open intents of earlier
// agents.
func (r *record) takeOver(ctx context.Context) ([]ledger.Intent, error) {
	if r.superseded {
		return nil, errSuperseded
	}
	e, old, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	if old.Incarnation == r.incarnation {
		// An earlier attempt was written although its response was lost.
		r.revision, r.value, r.hasFence = e.Revision, old, true
		return old.Intents, nil
	}
	next := recordValue{Incarnation: r.incarnation, Fence: old.Fence + 1, Intents: old.Intents}
	if err := r.put(ctx, next, e.Revision); err != nil {
		return nil, err
	}
	r.hasFence = true
	return next.Intents, nil
}

func (r *record) read(ctx context.Context) (kv.Entry, recordValue, error) {
	e, err := r.store.Get(ctx, r.key)
	if errors.Is(err, kv.ErrNotFound) {
		return kv.Entry{}, recordValue{}, nil
	}
	if err != nil {
		return e, recordValue{}, err
	}
	var v recordValue
	err = json.Unmarshal(e.Value, &v)
	return e, v, eris.Wrap(err, "agent: decode record")
}

func (r *record) put(ctx context.Context, v recordValue, expect kv.Revision) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "agent: encode record")
	}
	rev, err := r.store.Put(ctx, kv.Write{Key: r.key, Value: data, Expect: expect})
	if err != nil {
		return err
	}
	r.revision, r.value = rev, v
	return nil
}

// write records the intents. Their orders may be sent only if it returns nil.
func (r *record) write(ctx context.Context, intents []ledger.Intent) error {
	if r.superseded {
		return errSuperseded
	}
	if !r.hasFence {
		return errNoFence
	}
	next := recordValue{Incarnation: r.incarnation, Fence: r.value.Fence, Intents: intents}
	err := r.put(ctx, next, r.revision)
	if err == nil {
		return nil
	}
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrUnknown) {
		return r.reconcile(ctx, err)
	}
	return err
}

// reconcile reads the record after a conflict or a lost response. It returns errSuperseded if another
// agent has taken over, and otherwise cause; the intents count as not recorded and may be written
// again.
func (r *record) reconcile(ctx context.Context, cause error) error {
	e, v, err := r.read(ctx)
	if err != nil {
		return err
	}
	if v.Incarnation != r.incarnation {
		r.superseded = true
		return errSuperseded
	}
	r.revision, r.value = e.Revision, v
	return cause
}
