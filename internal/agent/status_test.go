package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// TestInvalidStatusOfBackend checks that a response with an invalid status is not passed on: the request may have run.
func TestInvalidStatusOfBackend(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "101", "+20", "-00", "20", "0200"} {
		t.Run(status, func(t *testing.T) {
			f := newBackendFixture(t, startBackend(t, respondWith("HTTP/1.1 "+status+" Status\r\nContent-Length: 4\r\n\r\nbody")).Addr().String())
			s := httptest.NewServer(f.requestRouter())
			defer s.Close()
			r, err := http.NewRequest(http.MethodPost, s.URL+"/s/x", strings.NewReader("prompt"))
			assert.NilError(t, err)
			r.Header.Set("Authorization", "Bearer "+secret)
			r.Header.Set(wire.HeaderRow, "s")
			got, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			defer got.Body.Close()
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			assert.Equal(t, got.Header.Get(wire.HeaderOutcome), string(wire.OutcomeUnknown))
		})
	}
}
