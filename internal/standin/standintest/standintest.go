// Package standintest starts stand-ins inside a test.
package standintest

import (
	"net/http/httptest"
	"testing"
	"time"

	"rockcleat/internal/standin"
	"rockcleat/kv"
)

// clientTimeout bounds one call of a test's client.
const clientTimeout = 2 * time.Second

// KV starts an empty key-value service without limits and returns it with a
// client of it; both end with the test.
func KV(t testing.TB) (*standin.KV, *kv.Client) {
	t.Helper()
	s := standin.NewKV(standin.KVOptions{})
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return s, kv.NewClient(kv.ClientOptions{URL: server.URL, Timeout: clientTimeout})
}
