package table

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/rotisserie/eris"

	"rockcleat/kv"
)

// snapshotPrefix is the prefix of the snapshots' keys in the key-value service.
const snapshotPrefix = "table/snapshot/"

// maxSnapshotBytes is the maximum size of a decompressed snapshot, in bytes. The key-value
// service limits the compressed form to 1 MB.
const maxSnapshotBytes = 64 << 20

// A snapshot is a complete table as stored in the key-value service, in gzipped JSON.
type snapshot struct {
	Version  uint64    `json:"version"`
	Floor    uint64    `json:"floor"`
	Rows     []Row     `json:"rows"`
	Removals []Removal `json:"removals"`
}

// snapshotKey returns the key of a snapshot. It includes the ID of the edit because two
// concurrent edits may write snapshots of the same version.
func snapshotKey(version uint64, id string) string {
	return fmt.Sprintf("%s%020d/%s", snapshotPrefix, version, id)
}

// writeSnapshot stores a snapshot of t for the edit with the given ID.
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

// deleteSnapshotsBefore deletes the snapshots of versions before base. The snapshot of base itself
// stays, because the stored head refers to it until the next head is written. Errors are ignored,
// because a later edit deletes what is left.
func (l *Log) deleteSnapshotsBefore(ctx context.Context, base uint64) {
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

// readSnapshot reads the snapshot that a head is based on.
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

func decodeSnapshot(value []byte) (*Table, error) {
	z, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, eris.Wrap(err, "table: unpack snapshot")
	}
	var s snapshot
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshotBytes)).Decode(&s); err != nil {
		return nil, eris.Wrap(err, "table: decode snapshot")
	}
	t := &Table{version: s.Version, floor: s.Floor, rows: make(map[string]Row), removals: s.Removals}
	for _, r := range s.Rows {
		t.rows[r.Name] = r
	}
	return t, nil
}
