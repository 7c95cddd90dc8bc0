package wire_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// TestSendOnce checks that a request with an Idempotency-Key and no body is not sent again when its
// reused connection breaks, as net/http does by default.
func TestSendOnce(t *testing.T) {
	tests := map[string]struct {
		sendOnce bool
		want     int64
	}{
		"as net/http does": {false, 2},
		"sent once":        {true, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			var keys atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					return
				}
				if r.Header.Get(wire.HeaderIdempotencyKey) == "k" {
					keys.Add(1)
				}
				if calls.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer s.Close()
			client := &http.Client{Transport: wire.NewTransport(&wire.Traffic{})}
			warm, err := client.Get(s.URL)
			assert.NilError(t, err)
			assert.NilError(t, warm.Body.Close())
			req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader(""))
			assert.NilError(t, err)
			req.Header.Set(wire.HeaderIdempotencyKey, "k")
			if tc.sendOnce {
				wire.SendOnce(req)
			}
			resp, err := client.Do(req)
			if err == nil {
				assert.NilError(t, resp.Body.Close())
			}
			assert.Equal(t, err != nil, tc.sendOnce)
			assert.Equal(t, calls.Load(), tc.want)
			assert.Equal(t, keys.Load(), tc.want)
		})
	}
}
