package agent

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"rockcleat/kv"
	"rockcleat/ledger"
)

// recordPrefix is the prefix of agents' records in the platform's service.
const recordPrefix = "agent/"

// errSuperseded says that another agent has taken over the backend server.
var errSuperseded = errors.New("agent: another agent has taken over the backend server")

// errNotArmed says that the agent has no fencing token yet.
var errNotArmed = errors.New("agent: no fencing token yet")

// A recordValue is the value in the platform's service for one backend server.
type recordValue struct {
	Incarnation string `json:"incarnation"`
	// Fence is the fencing token of every order of this incarnation.
	Fence   int64           `json:"fence"`
	Intents []ledger.Intent `json:"intents"`
}

// A record is the agent's hold on its backend server: whoever wrote the key last
// is the only one whose intents count, and no order is sent before its intent
// is written. An agent that was paused while another took over cannot write any
// more, and what it may have sent before stands in the record that the other
// has read.
type record struct {
	store       kv.Store
	key         string
	incarnation string
	revision    kv.Revision
	value       recordValue
	armed       bool
	superseded  bool
}

func newRecord(store kv.Store, id, incarnation string) *record {
	return &record{store: store, key: recordPrefix + id, incarnation: incarnation}
}

// arm takes the record over and returns the intents of former agents.
func (r *record) arm(ctx context.Context) ([]ledger.Intent, error) {
	if r.superseded {
		return nil, errSuperseded
	}
	e, old, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	if old.Incarnation == r.incarnation {
		// The answer to an earlier try was lost after it took effect.
		r.revision, r.value, r.armed = e.Revision, old, true
		return old.Intents, nil
	}
	next := recordValue{Incarnation: r.incarnation, Fence: old.Fence + 1, Intents: old.Intents}
	if err := r.put(ctx, next, e.Revision); err != nil {
		return nil, err
	}
	r.armed = true
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

// write records the intents; only when it returns nil may their orders be sent.
func (r *record) write(ctx context.Context, intents []ledger.Intent) error {
	if r.superseded {
		return errSuperseded
	}
	if !r.armed {
		return errNotArmed
	}
	next := recordValue{Incarnation: r.incarnation, Fence: r.value.Fence, Intents: intents}
	err := r.put(ctx, next, r.revision)
	if err == nil {
		return nil
	}
	if errors.Is(err, kv.ErrConflict) || errors.Is(err, kv.ErrUnknown) {
		return r.recover(ctx, err)
	}
	return err
}

// recover finds out after a conflict or a lost answer who holds the record; the
// pending intents are not recorded and the caller tries again later.
func (r *record) recover(ctx context.Context, cause error) error {
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
