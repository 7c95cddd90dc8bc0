package gateway

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/kv"
)

// serverWriteInterval is the time within which each live backend server writes its record again after the store was
// restored from a backup. Servers normally need about 2 s.
const serverWriteInterval = 3 * time.Second

// serverRecords implements kv.PeriodicWriters for the records that backend servers write periodically.
type serverRecords struct{ decoder Decoder }

// IsOlder implements kv.PeriodicWriters.
func (r serverRecords) IsOlder(e, than kv.Entry) (older, known bool) {
	return r.decoder.IsOlderServerEntry(e.Value, than.Value)
}

// MaxWriteInterval implements kv.PeriodicWriters.
func (serverRecords) MaxWriteInterval() time.Duration { return serverWriteInterval }

// operatorWriteInterval is the time within which operators repeat the writes that a restored store lacks.
const operatorWriteInterval = 3 * time.Second

// evacuationRecords implements kv.PeriodicWriters for the entries of evacuated data halls. Operators write an entry
// once, and again only if a restored store lacks it.
type evacuationRecords struct{}

// IsOlder implements kv.PeriodicWriters. Entries hold no order of their own.
func (evacuationRecords) IsOlder(_, _ kv.Entry) (older, known bool) { return false, false }

// MaxWriteInterval implements kv.PeriodicWriters.
func (evacuationRecords) MaxWriteInterval() time.Duration { return operatorWriteInterval }

// writersAfterRestore returns a function that returns who writes the entries of a prefix again after the store was
// restored from a backup, or nil if nobody does.
func writersAfterRestore(d Decoder) func(prefix string) kv.PeriodicWriters {
	return func(prefix string) kv.PeriodicWriters {
		switch prefix {
		case d.ServerPrefix():
			return serverRecords{decoder: d}
		case d.EvacuationPrefix():
			return evacuationRecords{}
		}
		return nil
	}
}

// storeRestored handles the restoration of the store from a backup. Writes made since the backup, such as the lease's
// record, are lost.
func (g *Gateway) storeRestored(era int64) {
	g.log.Warn("store restored from a backup", zap.Int64("era", era))
	g.lease.ExpireBeforeEra(era)
}
