package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnconfiguredModelIsRefusedAtOnce checks that a request for a model that is not configured is refused without
// waiting for a server. Its Retry-After allows for a newer configuration to arrive.
func TestUnconfiguredModelIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		model  string
		atOnce bool
	}{
		"not listed":                {model: "m9", atOnce: true},
		"not listed, with adapter":  {model: "m9/a1", atOnce: true},
		"listed, held by no server": {model: "m1"},
		"adapter of a listed model": {model: "m1/a1"},
		"named like a part of one":  {model: "m", atOnce: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newFakeServer(t, "a", respond(http.StatusOK, "ok"))
			env := newTestEnv(t, server)
			got := env.post(pathModel, "x", names.Model, test.model, names.Deadline, "600")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			early := env.logs.FilterMessage("request refused")
			if !test.atOnce {
				assert.Equal(t, early.Len(), 0)
				env.awaitLine("request ended")
				return
			}
			assert.Equal(t, early.Len(), 1, "it waited")
			assert.Equal(t, got.header.Get("Retry-After"), "2.00")
			assert.Equal(t, got.body, "the model is not configured; not run\n")
		})
	}
}

// TestRequestLineNamesPromptParts checks that the log line of a request names the parts of its prompt, in order and at
// most 16, since crashes of servers under different requests are traced by them.
func TestRequestLineNamesPromptParts(t *testing.T) {
	env := newTestEnv(t, newFakeServer(t, "a", respond(http.StatusOK, "ok")))
	env.post(pathModel, "x", names.Model, "m1", names.Deadline, "600", names.Prefix, "p1:350,p2:20"+strings.Repeat(",p:1", 20))
	env.awaitLine("request ended")
	parts := env.logs.FilterMessage("request ended").All()[0].ContextMap()["parts"].([]any)
	assert.Equal(t, len(parts), 16)
	assert.DeepEqual(t, parts[:3], []any{"p1", "p2", "p"})
}
