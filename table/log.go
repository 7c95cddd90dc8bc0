package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/clock"
	"rockcleat/kv"
)

// headKey is the key of the head in the key-value service.
const headKey = "table/head"

// Lengths of the head's tail, in edits.
const (
	maxTailLength = 64
	// trimmedTailLength is the length to which a longer tail is trimmed.
	trimmedTailLength = 32
)

// Exponential backoff between attempts of a save.
const (
	// initialBackoff is several round trips to the key-value service.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// Errors of a save.
var (
	// ErrRowConflict means that a row is not at the version that the edit expects. Nothing was
	// saved.
	ErrRowConflict = errors.New("table: row changed by another edit")
	// ErrInvalid means that the edited table failed its checks. Nothing was saved.
	ErrInvalid = errors.New("table: checks failed")
	// ErrSaveUnknown means that no response arrived in time. The same edit can be saved again
	// safely.
	ErrSaveUnknown = errors.New("table: outcome of save unknown")
)

// An InvalidError lists the errors found in an edited table. It matches ErrInvalid.
type InvalidError struct {
	Errors []CheckError
}

// Error returns the message of the first error and the number of further ones.
func (e *InvalidError) Error() string {
	if len(e.Errors) == 1 {
		return e.Errors[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", e.Errors[0].Error(), len(e.Errors)-1)
}

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// A head is the value whose compare-and-swap commits the next version.
type head struct {
	Version uint64 `json:"version"`
	// Base is the version of the snapshot, 0 if there is none.
	Base uint64 `json:"base"`
	// Tail lists the latest edits, oldest first.
	Tail []Edit `json:"tail"`
}

// A Validator checks a table beyond its own rows, for example whether its models fit the
// accelerators. A nil Validator accepts every table.
type Validator func(next *Table) []CheckError

// A Log stores the table in the platform's key-value service.
//
// The stored form is a head, which holds the latest edits, and a snapshot to which the edits
// apply. An edit is committed by one compare-and-swap of the head.
type Log struct {
	store    kv.Store
	clock    clock.Service
	validate Validator
}

// NewLog returns a Log in the given store. The Validator may be nil.
func NewLog(store kv.Store, c clock.Service, v Validator) *Log {
	return &Log{store: store, clock: c, validate: v}
}

// Load returns the stored table and the revision of its head. The argument known is the newest
// table that the caller has. Load applies the head's edits to it and reads a snapshot only if
// earlier edits are missing.
func (l *Log) Load(ctx context.Context, known *Table) (*Table, kv.Revision, error) {
	t, _, rev, err := l.load(ctx, known)
	return t, rev, err
}

// Watch waits until the head is newer than the revision after, or until wait has passed, and
// returns the stored table and the revision of its head.
func (l *Log) Watch(ctx context.Context, known *Table, after kv.Revision, wait time.Duration) (*Table, kv.Revision, error) {
	e, err := l.store.Watch(ctx, headKey, after, wait)
	if errors.Is(err, kv.ErrNotFound) {
		return known, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t, _, rev, err := l.decode(ctx, e, known)
	return t, rev, err
}

// History returns the latest edits, oldest first.
func (l *Log) History(ctx context.Context) ([]Edit, error) {
	e, err := l.store.Get(ctx, headKey)
	if errors.Is(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	h, err := decodeHead(e.Value)
	return h.Tail, err
}

// Save applies the edit to the stored table and returns the result. Its error is ErrRowConflict,
// ErrInvalid, ErrSaveUnknown or an error of package kv, which means that nothing was saved.
//
// Save is idempotent for edits that are still in the head: an edit with the ID of a stored edit
// is not applied again. If a read or write fails, Save retries until ctx ends.
func (l *Log) Save(ctx context.Context, e Edit) (*Table, error) {
	known := &Table{}
	backoff := initialBackoff
	outcomeUnknown := false
	for {
		t, retry, err := l.trySave(ctx, e, known)
		if err == nil {
			return t, nil
		}
		outcomeUnknown = outcomeUnknown || errors.Is(err, kv.ErrUnknown)
		if !retry {
			return nil, err
		}
		clock.Sleep(ctx, l.clock, backoff)
		if ctx.Err() != nil {
			return nil, saveError(outcomeUnknown, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// saveError returns ErrSaveUnknown if the outcome of a write is unknown, and the last error otherwise.
func saveError(outcomeUnknown bool, last error) error {
	if outcomeUnknown {
		return eris.Wrap(ErrSaveUnknown, last.Error())
	}
	return last
}

// trySave makes one attempt to save the edit. If it fails, retry reports whether another attempt may
// succeed.
func (l *Log) trySave(ctx context.Context, e Edit, known *Table) (t *Table, retry bool, err error) {
	t, h, rev, err := l.load(ctx, known)
	if err != nil {
		return nil, true, err
	}
	if slices.ContainsFunc(h.Tail, func(o Edit) bool { return o.ID == e.ID }) {
		return t, false, nil
	}
	if err := checkRowVersions(t, e); err != nil {
		return nil, false, err
	}
	e.Version = t.Version() + 1
	next := t.Apply(e, e.Version)
	if errs := l.Check(next); len(errs) > 0 {
		return nil, false, &InvalidError{Errors: errs}
	}
	h, err = l.appendEdit(ctx, h, e, next)
	if err != nil {
		return nil, true, err
	}
	value, err := json.Marshal(h)
	if err != nil {
		return nil, false, eris.Wrap(err, "table: encode head")
	}
	if _, err := l.store.Put(ctx, kv.Write{Key: headKey, Value: value, Expect: rev}); err != nil {
		return nil, true, err
	}
	return next, false, nil
}

// checkRowVersions returns ErrRowConflict if a row is not at the version that the edit expects.
func checkRowVersions(t *Table, e Edit) error {
	for _, c := range e.Changes {
		current, _ := t.Row(c.Name)
		if current.Version != c.Seen {
			return eris.Wrapf(ErrRowConflict, "row %q is at version %d, the edit saw %d", c.Name, current.Version, c.Seen)
		}
	}
	return nil
}

// Check returns the errors that prevent a table from being saved: those of its rows, or, if there
// are none, those of the Validator.
func (l *Log) Check(t *Table) []CheckError {
	errs := t.Check()
	if len(errs) == 0 && l.validate != nil {
		errs = l.validate(t)
	}
	return errs
}

// appendEdit returns the head with the edit appended. If the tail is then longer than maxTailLength,
// appendEdit also stores a snapshot of next, the table with the edit, and trims the tail.
func (l *Log) appendEdit(ctx context.Context, h head, e Edit, next *Table) (head, error) {
	h.Version = e.Version
	h.Tail = append(slices.Clone(h.Tail), e)
	if len(h.Tail) <= maxTailLength {
		return h, nil
	}
	oldBase := h.Base
	if err := l.writeSnapshot(ctx, next, e.ID); err != nil {
		return h, err
	}
	h.Base = e.Version
	h.Tail = h.Tail[len(h.Tail)-trimmedTailLength:]
	l.deleteSnapshotsBefore(ctx, oldBase)
	return h, nil
}

// load reads the head and returns the stored table.
func (l *Log) load(ctx context.Context, known *Table) (*Table, head, kv.Revision, error) {
	e, err := l.store.Get(ctx, headKey)
	if errors.Is(err, kv.ErrNotFound) {
		return known, head{}, kv.Absent, nil
	}
	if err != nil {
		return nil, head{}, 0, err
	}
	return l.decode(ctx, e, known)
}

// decode returns the table that a head describes. It applies the head's edits to known or, if known
// lacks earlier edits, to the head's snapshot.
func (l *Log) decode(ctx context.Context, e kv.Entry, known *Table) (*Table, head, kv.Revision, error) {
	h, err := decodeHead(e.Value)
	if err != nil {
		return nil, head{}, 0, err
	}
	if known.Version() >= h.Version {
		return known, h, e.Revision, nil
	}
	t := known
	if !h.hasAllEditsAfter(known.Version()) {
		if t, err = l.readSnapshot(ctx, h); err != nil {
			return nil, head{}, 0, err
		}
	}
	for _, edit := range h.Tail {
		if edit.Version > t.Version() {
			t = t.Apply(edit, edit.Version)
		}
	}
	return t, h, e.Revision, nil
}

// hasAllEditsAfter reports whether the tail contains every edit after the given version.
func (h head) hasAllEditsAfter(version uint64) bool {
	return len(h.Tail) > 0 && h.Tail[0].Version <= version+1
}

func decodeHead(value []byte) (head, error) {
	var h head
	err := json.Unmarshal(value, &h)
	return h, eris.Wrap(err, "table: decode head")
}
