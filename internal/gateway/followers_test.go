package gateway

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/dispatch"
	"rockcleat/kv"
	"rockcleat/table"
)

// plainDecoder takes a key for the server's id.
type plainDecoder struct{}

func (plainDecoder) ConfigKey() string    { return "config" }
func (plainDecoder) ServerPrefix() string { return "servers/" }

func (plainDecoder) Routing([]byte) (*table.Routing, error) { return nil, nil }

func (plainDecoder) Server(key string, _ []byte) (backend.Server, error) {
	return backend.Server{ID: key, Service: "app"}, nil
}

func (plainDecoder) ServerID(key string) string { return key }

// TestNewListShowsWhoIsGone checks that a server which went while the store was not
// watched is logged once.
func TestNewListShowsWhoIsGone(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	d := dispatch.New(dispatch.Options{Clock: clock.Real{}, CacheTokens: func(string) int { return 0 }})
	log := zap.New(core)
	f := &serverFollower{
		storeHealth: newStoreHealth(t.Context(), log), servers: newServerList(plainDecoder{}, clock.Real{}, log, d),
		known: make(map[string]bool),
	}
	entry := func(key string) kv.Entry { return kv.Entry{Key: key} }
	f.Replace([]kv.Entry{entry("s1"), entry("s2")})
	f.Apply([]kv.Event{{Entry: entry("s3")}, {Entry: entry("s2"), Deleted: true}})
	f.Replace([]kv.Entry{entry("s3")})
	f.Replace([]kv.Entry{entry("s3")})
	var gone []string
	for _, l := range logs.FilterMessage("server gone").All() {
		gone = append(gone, l.ContextMap()["server"].(string))
	}
	assert.DeepEqual(t, gone, []string{"s2", "s1"})
}
