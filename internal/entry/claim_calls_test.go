package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/internal/config"
	"rockcleat/internal/wire"
	"rockcleat/kv/kvtest"
	"rockcleat/lease"
)

// TestClaimAfterOwnerBecameSilent guards against an entry that sends all claims of a shard to a former owner, which
// accepts connections and does not respond, after another entry has taken over the shard's lease.
func TestClaimAfterOwnerBecameSilent(t *testing.T) {
	calls := map[string]func(c *claims) error{
		"claim": func(c *claims) error {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			_, err := c.claim(ctx, wire.ClaimRequest{Key: "k"})
			return err
		},
		"finish": func(c *claims) error {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			return c.callOwner(ctx, 0, wire.PathClaimFinish, wire.ClaimRequest{Key: "k"}, nil)
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			stopped := make(chan struct{})
			silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stopped }))
			defer silent.Close()
			defer close(stopped)
			successor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				assert.Check(t, json.NewEncoder(w).Encode(wire.ClaimResponse{Fresh: true}))
			}))
			defer successor.Close()
			clk := clocktest.New(time.Unix(1000, 0))
			store := kvtest.New(clk)
			setOwner := func(s *httptest.Server) {
				record, err := json.Marshal(lease.Record{Addr: s.Listener.Addr().String()})
				assert.NilError(t, err)
				store.Set("lease/"+leaseName(0), record)
			}
			var settings config.Entry
			config.SetDefaults(&settings)
			settings.Claims.Shards = 1
			c := newClaims(claimsOptions{
				ctx: t.Context(), settings: settings.Claims, store: store, clock: clk, log: zap.NewNop(),
				peers: wire.NewClient("", http.DefaultTransport),
			})
			setOwner(silent)
			assert.ErrorIs(t, call(c), context.DeadlineExceeded)
			setOwner(successor)
			clk.Advance(ownerCacheTime)
			assert.NilError(t, call(c))
			reads := store.Calls("get")
			assert.NilError(t, call(c))
			assert.Equal(t, store.Calls("get"), reads, "the lease is read for each call")
		})
	}
}
