package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/cli"
	"rockcleat/internal/wire"
	"rockcleat/quota"
)

// startGateway starts a server that reports limits of organisations as a gateway does.
func startGateway(t *testing.T, items ...quota.Status) (addr string) {
	return startLimitServer(t, wire.LimitList{Items: items})
}

// startLimitServer starts a server that responds with the given limits.
func startLimitServer(t *testing.T, list wire.LimitList) (addr string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, wire.PathLimits)
		assert.NilError(t, json.NewEncoder(w).Encode(list))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestLimits checks that the counts of two gateways are summed.
func TestLimits(t *testing.T) {
	guild := quota.Status{Key: "guild", Rate: 2600, Burst: 5200, Owner: "g2"}
	one, two := guild, guild
	one.Counts = quota.Counts{Inside: 3, Over: 1, Spent: 4800}
	two.Share, two.Available, two.Counts = 1, 700, quota.Counts{Inside: 1, Unknown: 2, Spent: 1600}
	addrs := startGateway(t, one) + "," + startGateway(t, two, quota.Status{Key: "desk", Rate: 1, Burst: 1})
	server := quota.Status{Key: "i-7", Rate: 1.8, Burst: 1.45, Owner: "g1", Counts: quota.Counts{Inside: 21, Over: 9}}
	serverGateway := startLimitServer(t, wire.LimitList{Servers: []quota.Status{server}})
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"as a table":   {args: []string{"limits", "-gateways", addrs}, want: []string{"guild", "2600", "g2", "1.00", "700", "4", "6400", "desk"}},
		"as JSON":      {args: []string{"limits", "-gateways", addrs, "-json"}, want: []string{`"inside":4`, `"unknown":2`, `"spent":6400`}},
		"of servers":   {args: []string{"limits", "-gateways", serverGateway}, want: []string{"SERVER", "i-7", "1.80", "g1", "219"}},
		"no gateways":  {args: []string{"limits"}, code: cli.ExitUsage},
		"nobody there": {args: []string{"limits", "-gateways", "127.0.0.1:1"}, code: cli.ExitFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			assert.Equal(t, cli.Run(context.Background(), test.args, strings.NewReader(""), &out, &stderr), test.code, "%s", &stderr)
			text := strings.ReplaceAll(out.String(), " ", "")
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(text, want), "%q in %s", want, out.String())
			}
		})
	}
}
