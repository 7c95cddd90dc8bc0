// Package standintest starts the stand-ins of package standin inside the process of a test.
package standintest

import (
	"net/http/httptest"
	"testing"
	"time"

	"rockcleat/internal/standin"
	"rockcleat/kv"
)

// clientTimeout is the timeout of one call.
const clientTimeout = 2 * time.Second

// KV starts an empty key-value service without rate limits and returns it with a client. The
// service stops when the test ends.
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
