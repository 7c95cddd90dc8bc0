package wire_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/wire"
)

// TestCompressedResponses checks that a client decodes responses of any size, and that a large one is much smaller on
// the wire if the client accepts that.
func TestCompressedResponses(t *testing.T) {
	list := make([]string, 2000)
	for i := range list {
		list[i] = fmt.Sprint("front-hall-", i)
	}
	tests := map[string]struct {
		message        []string
		wantCompressed bool
	}{
		"small": {message: list[:3]},
		"large": {message: list, wantCompressed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := json.Marshal(test.message)
				assert.NilError(t, err)
				encoded, err := wire.Compress(body, r.Header)
				assert.NilError(t, err)
				assert.Equal(t, encoded.Encoding != "", test.wantCompressed)
				if encoded.Encoding != "" {
					w.Header().Set("Content-Encoding", encoded.Encoding)
					assert.Assert(t, len(encoded.Body) < len(body)/4, "%d of %d bytes", len(encoded.Body), len(body))
				}
				sent = len(encoded.Body)
				_, _ = w.Write(encoded.Body)
			}))
			defer server.Close()
			client := wire.NewClient("", http.DefaultTransport)
			var got []string
			assert.NilError(t, client.Post(context.Background(), strings.TrimPrefix(server.URL, "http://"), "/", "x", &got))
			assert.DeepEqual(t, got, test.message)
			assert.Assert(t, sent > 0)
		})
	}
	body := []byte(strings.Repeat("x", 100_000))
	encoded, err := wire.Compress(body, http.Header{})
	assert.NilError(t, err)
	assert.Assert(t, encoded.Encoding == "" && len(encoded.Body) == len(body), "a client that does not accept it gets the body as it is")
}
