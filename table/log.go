package table

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/kv"
)

// Keys of the table in the platform's key-value service.
const (
	headKey        = "table/head"
	snapshotPrefix = "table/snapshot/"
)

// Sizes of the head's tail: it is cut to keptEdits when it exceeds maxEdits.
const (
	maxEdits  = 64
	keptEdits = 32
)

// maxSnapshot bounds an unpacked snapshot, in bytes.
const maxSnapshot = 64 << 20

// Waits between tries of a save.
const (
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
)

// Outcomes of a save.
var (
	// ErrRowConflict tells that another operator changed the row first; nothing was saved.
	ErrRowConflict = errors.New("table: row changed by another edit")
	// ErrInvalid tells that the table would not pass its checks; nothing was saved.
	ErrInvalid = errors.New("table: checks failed")
	// ErrSaveUnknown tells that no answer came in time; the same edit may be sent again.
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

// head is the one value whose compare-and-swap decides the next version.
type head struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
	Tail    []Edit `json:"tail"`
}

// snapshot is a whole table as it is kept under snapshotPrefix.
type snapshot struct {
	Version  uint64    `json:"version"`
	Floor    uint64    `json:"floor"`
	Rows     []Row     `json:"rows"`
	Removals []Removal `json:"removals"`
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
	validate Validator
}

// NewLog returns the Log in a store.
func NewLog(store kv.Store, v Validator) *Log {
	return &Log{store: store, validate: v}
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

// Save applies the edit to the table in force and returns the table with it.
//
// An edit whose ID is already in the record is not applied again. While the
// outcome of a write is unknown Save asks and tries again until ctx ends.
func (l *Log) Save(ctx context.Context, e Edit) (*Table, error) {
	var have = &Table{}
	wait := firstRetry
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
		select {
		case <-ctx.Done():
			return nil, giveUp(unknown, err)
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRetry)
	}
}

// giveUp tells a save that surely did not happen from one that may have.
func giveUp(unknown bool, last error) error {
	if unknown {
		return eris.Wrap(ErrSaveUnknown, last.Error())
	}
	return last
}

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
	if errs := l.check(next); len(errs) > 0 {
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

func (l *Log) check(t *Table) []CheckError {
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

// snapshotKey carries the edit's ID, since two edits may compete for a version.
func snapshotKey(version uint64, id string) string {
	return fmt.Sprintf("%s%020d/%s", snapshotPrefix, version, id)
}

func (l *Log) writeSnapshot(ctx context.Context, t *Table, id string) error {
	s := snapshot{Version: t.version, Floor: t.floor, Rows: t.Rows(), Removals: t.removals}
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return eris.Wrap(err, "table: encode snapshot")
	}
	if err := z.Close(); err != nil {
		return eris.Wrap(err, "table: pack snapshot")
	}
	_, err := l.store.Put(ctx, kv.Write{Key: snapshotKey(t.version, id), Value: buf.Bytes(), Expect: kv.Any})
	return err
}

// dropSnapshots removes snapshots older than the one that the head in force
// still starts from; what fails is removed by a later edit.
func (l *Log) dropSnapshots(ctx context.Context, base uint64) {
	entries, err := l.store.List(ctx, snapshotPrefix)
	if err != nil {
		return
	}
	limit := snapshotKey(base, "")
	for _, e := range entries {
		if e.Key < limit {
			_ = l.store.Delete(ctx, e.Key, kv.Any)
		}
	}
}

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

func (l *Log) readSnapshot(ctx context.Context, h head) (*Table, error) {
	i := slices.IndexFunc(h.Tail, func(e Edit) bool { return e.Version == h.Base })
	if i < 0 {
		return nil, eris.Errorf("table: head of version %d names no edit of its base %d", h.Version, h.Base)
	}
	e, err := l.store.Get(ctx, snapshotKey(h.Base, h.Tail[i].ID))
	if err != nil {
		return nil, err
	}
	return decodeSnapshot(e.Value)
}

func decodeHead(value []byte) (head, error) {
	var h head
	err := json.Unmarshal(value, &h)
	return h, eris.Wrap(err, "table: decode head")
}

func decodeSnapshot(value []byte) (*Table, error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, eris.Wrap(err, "table: unpack snapshot")
	}
	var s snapshot
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshot)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "table: decode snapshot")
	}
	t := &Table{version: s.Version, floor: s.Floor, rows: make(map[string]Row), removals: s.Removals}
	for _, r := range s.Rows {
		t.rows[r.Name] = r
	}
	return t, nil
}
