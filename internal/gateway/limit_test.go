package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/apikey"
	"rockcleat/internal/config"
	"rockcleat/table"
)

// newLimitEnv starts a gateway, waits until it leads, and gives the first organisation a rate limit.
func newLimitEnv(t *testing.T, limit table.RateLimit, servers ...*fakeServer) *testEnv {
	env := prepareTestEnv(t, func(*config.Gateway) {}, servers...)
	useKeys(env)
	env.routing.Organisations[0].RateLimit = limit
	env.putConfig()
	env.awaitReady(http.StatusOK)
	env.awaitLines("leadership gained", 1)
	return env
}

// awaitLimit waits until a request of the limited organisation with the given token counts gets a response
// with status.
func (env *testEnv) awaitLimit(status int, tokens string) {
	env.t.Helper()
	poll.WaitOn(env.t, func(poll.LogT) poll.Result {
		if r := env.get(pathSafe, apikey.Header, bearer(guildKey), names.Tokens, tokens); r.status != status {
			return poll.Continue("status %d, %v", r.status, r.err)
		}
		return poll.Success()
	})
}

// TestOverTheLimit checks that a request over its organisation's rate limit is refused immediately with a Retry-After
// and reaches no server, and that other organisations and routes without keys are not affected.
func TestOverTheLimit(t *testing.T) {
	tests := map[string]struct {
		limit  table.RateLimit
		tokens string
	}{
		"tokens":              {limit: table.RateLimit{Unit: table.UnitTokens, PerSecond: 500, Burst: 1000}, tokens: "900,100"},
		"tokens, none named":  {limit: table.RateLimit{Unit: table.UnitTokens, PerSecond: 500, Burst: 1000, DefaultTokens: 1000}},
		"tokens, malformed":   {limit: table.RateLimit{Unit: table.UnitTokens, PerSecond: 500, Burst: 1000, DefaultTokens: 1000}, tokens: "many"},
		"tokens, negative":    {limit: table.RateLimit{Unit: table.UnitTokens, PerSecond: 500, Burst: 1000}, tokens: "1000,-999"},
		"more than the burst": {limit: table.RateLimit{Unit: table.UnitTokens, PerSecond: 500, Burst: 1000}, tokens: "900,9100"},
		"requests":            {limit: table.RateLimit{Unit: table.UnitRequests, PerSecond: 0.5, Burst: 1}, tokens: "900,100"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newFakeServer(t, "a", respond(http.StatusOK, "yes"))
			env := newLimitEnv(t, test.limit, x)
			env.awaitLimit(http.StatusOK, test.tokens)
			before := x.count()
			began := time.Now()
			r := env.get(pathSafe, apikey.Header, bearer(guildKey), names.Tokens, test.tokens)
			assert.Equal(t, r.status, http.StatusTooManyRequests)
			assert.Assert(t, time.Since(began) < time.Second, "it waited")
			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0.2, "%v s", after)
			assert.Equal(t, x.count(), before, "no server is asked")
			assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(deskKey)).status, http.StatusOK)
			assert.Equal(t, env.get(pathOpen, apikey.Header, bearer(guildKey)).status, http.StatusOK)
		})
	}
}

// TestRefusedRequestIsRefunded checks that a request that servers refuse is not charged to its organisation's rate
// limit.
func TestRefusedRequestIsRefunded(t *testing.T) {
	x := newFakeServer(t, "full", refuse)
	env := newLimitEnv(t, table.RateLimit{Unit: table.UnitRequests, PerSecond: 0.3, Burst: 1}, x)
	env.awaitLimit(http.StatusServiceUnavailable, "")
	assert.Assert(t, x.count() > 0, "the server was asked")
	assert.Equal(t, env.get(pathSafe, apikey.Header, bearer(guildKey)).status, http.StatusServiceUnavailable)
}
