package gateway

import (
	"time"

	"go.uber.org/zap"

	"rockcleat/kv"
)

// serverWriteTime is within what time each backend server that lives writes its record again after the store came
// back from a copy: the users say about two seconds.
const serverWriteTime = 3 * time.Second

// serverRecords are the records of backend servers, which write them again and again.
type serverRecords struct{ decoder Decoder }

// IsOlder implements kv.Writers.
func (r serverRecords) IsOlder(e, than kv.Entry) (older, known bool) {
	return r.decoder.IsOlderServer(e.Value, than.Value)
}

// WriteTime implements kv.Writers.
func (serverRecords) WriteTime() time.Duration { return serverWriteTime }

// serverWriters returns who writes under a prefix: the backend servers under theirs.
func serverWriters(d Decoder) func(prefix string) kv.Writers {
	return func(prefix string) kv.Writers {
		if prefix == d.ServerPrefix() {
			return serverRecords{decoder: d}
		}
		return nil
	}
}

// storeCameBack follows a store that came back from a copy of itself: what was written since the copy is gone, the
// lease too, whoever held it.
func (g *Gateway) storeCameBack(era int64) {
	g.log.Warn("store came back from a copy", zap.Int64("era", era))
	g.lease.EndEra(era)
}
