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

// headKey is the key of the table's head in the platform's key-value service.
const headKey = "table/head"

// Sizes of the head's tail, in edits.
const (
	// maxEdits is the length from which on the tail is cut.
	maxEdits = 64
	// keptEdits is the length that it is cut to.
	keptEdits = 32
)

// Waits between tries of a save, with doubling.
const (
	// firstRetryWait is the first one: some round trips to the service.
	firstRetryWait = 20 * time.Millisecond
	// maxRetryWait is the longest.
	maxRetryWait = time.Second
)

// Outcomes of a save.
var (
	// ErrRowConflict says that another operator changed the row first; nothing was saved.
	ErrRowConflict = errors.New("table: row changed by another edit")
	// ErrInvalid says that the table would not pass its checks; nothing was saved.
	ErrInvalid = errors.New("table: checks failed")
	// ErrSaveUnknown says that no answer came in time; the same edit may be sent again.
	ErrSaveUnknown = errors.New("table: outcome of save unknown")
)

// An InvalidError carries the errors that made a save fail; it is an ErrInvalid.
type InvalidError struct {
	Errors []CheckError
}

// Error returns the first error's message and how many there are.
func (e *InvalidError) Error() string {
	if len(e.Errors) == 1 {
		return e.Errors[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", e.Errors[0].Error(), len(e.Errors)-1)
}

// Is makes an InvalidError an ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

// A head is the one value whose compare-and-swap decides the next version.
type head struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Tail    []Edit `json:"tail"`
}

// A Validator refuses tables for reasons beyond the rows themselves, such as
// models that do not fit the accelerators; nil stands for none.
type Validator func(next *Table) []CheckError

// A Log is the table's record in the platform's key-value service.
//
// The record is a head, which holds the latest edits, and a snapshot that the
// edits start from. An edit is saved by one compare-and-swap of the head.
type Log struct {
	store    kv.Store
	clock    clock.Service
	validate Validator
}

// NewLog returns the Log in a store.
func NewLog(store kv.Store, c clock.Service, v Validator) *Log {
	return &Log{store: store, clock: c, validate: v}
}

// Load returns the table in force and the head's revision; have is the newest
// table already known, which spares reading what it holds.
func (l *Log) Load(ctx context.Context, have *Table) (*Table, kv.Revision, error) {
	t, _, rev, err := l.load(ctx, have)
	return t, rev, err
}

// Watch waits for a head newer than the revision, or for at most wait, and
// returns the table then in force with the head's revision.
func (l *Log) Watch(ctx context.Context, have *Table, after kv.Revision, wait time.Duration) (*Table, kv.Revision, error) {
	e, err := l.store.Watch(ctx, headKey, after, wait)
	if errors.Is(err, kv.ErrNotFound) {
		return have, after, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t, _, rev, err := l.decode(ctx, e, have)
	return t, rev, err
}

// History returns the latest edits, the newest last.
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

// Save applies the edit to the table in force and returns the table with it. The error is
// ErrRowConflict, ErrInvalid, ErrSaveUnknown or one of package kv that says that nothing was
// saved.
//
// An edit whose ID is already in the record is not applied again. While the
// outcome of a write is unknown Save asks and tries again until ctx ends.
func (l *Log) Save(ctx context.Context, e Edit) (*Table, error) {
	have := &Table{}
	wait := firstRetryWait
	unknown := false
	for {
		t, retry, err := l.trySave(ctx, e, have)
		if err == nil {
			return t, nil
		}
		unknown = unknown || errors.Is(err, kv.ErrUnknown)
		if !retry {
			return nil, err
		}
		clock.Sleep(ctx, l.clock, wait)
		if ctx.Err() != nil {
			return nil, giveUp(unknown, err)
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// giveUp returns the error of a save that surely did not happen, or that of one that may have.
func giveUp(unknown bool, last error) error {
	if unknown {
		return eris.Wrap(ErrSaveUnknown, last.Error())
	}
	return last
}

// trySave tries a save once; retry says that it may be tried again.
func (l *Log) trySave(ctx context.Context, e Edit, have *Table) (t *Table, retry bool, err error) {
	t, h, rev, err := l.load(ctx, have)
	if err != nil {
		return nil, true, err
	}
	if slices.ContainsFunc(h.Tail, func(o Edit) bool { return o.ID == e.ID }) {
		return t, false, nil
	}
	if err := conflict(t, e); err != nil {
		return nil, false, err
	}
	e.Version = t.Version() + 1
	next := t.Apply(e, e.Version)
	if errs := l.Check(next); len(errs) > 0 {
		return nil, false, &InvalidError{Errors: errs}
	}
	h, err = l.append(ctx, h, e, next)
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

// conflict refuses changes to rows that are not as the operator saw them.
func conflict(t *Table, e Edit) error {
	for _, c := range e.Changes {
		now, _ := t.Row(c.Name)
		if now.Version != c.Seen {
			return eris.Wrapf(ErrRowConflict, "row %q is at version %d, the edit saw %d", c.Name, now.Version, c.Seen)
		}
	}
	return nil
}

// Check returns why a table must not be saved, if anything: errors of its rows, or else those of
// the Validator.
func (l *Log) Check(t *Table) []CheckError {
	errs := t.Check()
	if len(errs) == 0 && l.validate != nil {
		errs = l.validate(t)
	}
	return errs
}

// append returns the head with the edit, moved onto a new snapshot when its
// tail has grown long.
func (l *Log) append(ctx context.Context, h head, e Edit, next *Table) (head, error) {
	h.Version = e.Version
	h.Tail = append(slices.Clone(h.Tail), e)
	if len(h.Tail) <= maxEdits {
		return h, nil
	}
	old := h.Base
	if err := l.writeSnapshot(ctx, next, e.ID); err != nil {
		return h, err
	}
	h.Base = e.Version
	h.Tail = h.Tail[len(h.Tail)-keptEdits:]
	l.dropSnapshots(ctx, old)
	return h, nil
}

// load reads the head and returns the table in force.
func (l *Log) load(ctx context.Context, have *Table) (*Table, head, kv.Revision, error) {
	e, err := l.store.Get(ctx, headKey)
	if errors.Is(err, kv.ErrNotFound) {
		return have, head{}, kv.Absent, nil
	}
	if err != nil {
		return nil, head{}, 0, err
	}
	return l.decode(ctx, e, have)
}

// decode returns the table of a head: have with the edits that it lacks, or the head's snapshot
// with them.
func (l *Log) decode(ctx context.Context, e kv.Entry, have *Table) (*Table, head, kv.Revision, error) {
	h, err := decodeHead(e.Value)
	if err != nil {
		return nil, head{}, 0, err
	}
	if have.Version() >= h.Version {
		return have, h, e.Revision, nil
	}
	t := have
	if !h.continues(have.Version()) {
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

// continues reports whether the tail holds every edit after the version.
func (h head) continues(version uint64) bool {
	return len(h.Tail) > 0 && h.Tail[0].Version <= version+1
}

func decodeHead(value []byte) (head, error) {
	var h head
	err := json.Unmarshal(value, &h)
	return h, eris.Wrap(err, "table: decode head")
}
