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

// serverWriters returns a function that returns the writers of a prefix, or nil if it is not the prefix of servers.
func serverWriters(d Decoder) func(prefix string) kv.PeriodicWriters {
	return func(prefix string) kv.PeriodicWriters {
		if prefix == d.ServerPrefix() {
			return serverRecords{decoder: d}
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
