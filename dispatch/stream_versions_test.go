package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/backend"
	"rockcleat/clock/clocktest"
	"rockcleat/dispatch"
)

// TestStreamVersionsOfRunningStreams guards against a leader that does not know at which version streams run: it would
// unload their model there.
func TestStreamVersionsOfRunningStreams(t *testing.T) {
	tests := map[string]struct {
		servers   []backend.Server
		resumable bool
		want      string
	}{
		"resumable, two versions":        {servers: []backend.Server{engineAt("a", "v1"), emptyAt("b", "v2")}, resumable: true, want: "v1\n"},
		"not resumable":                  {servers: []backend.Server{engineAt("a", "v1"), emptyAt("b", "v2")}},
		"one version":                    {servers: []backend.Server{engineAt("a", "v1"), emptyAt("b", "v1")}, resumable: true},
		"the other version is leaving":   {servers: []backend.Server{engineAt("a", "v1"), leavingAt("b", "v2")}, resumable: true},
		"a server without a version too": {servers: []backend.Server{engineAt("a", ""), emptyAt("b", "v2")}, resumable: true, want: "\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := clocktest.New(time.Unix(1000, 0))
			d := dispatcher(c, test.servers...)
			r := request(c)
			r.Resumable = test.resumable
			res, err := d.Acquire(t.Context(), r)
			assert.NilError(t, err)
			assert.Equal(t, d.Demands()[model].StreamVersions, test.want)
			res.Done(dispatch.Canceled)
			c.Advance(2 * time.Second)
			assert.Equal(t, d.Demands()[model].StreamVersions, test.want, "its caller may resume it yet")
			c.Advance(2 * time.Second)
			assert.Equal(t, d.Demands()[model].StreamVersions, "", "its caller does not return any more")
		})
	}
}

// emptyAt returns an engine that runs a software version and holds nothing.
func emptyAt(id, version string) backend.Server {
	s := engineAt(id, version)
	s.Residents = nil
	return s
}

// leavingAt returns an engine that runs a software version and is leaving.
func leavingAt(id, version string) backend.Server {
	s := engineAt(id, version)
	s.Leaving = true
	return s
}

// TestStreamVersionsOfWaitingStreams guards against a leader that does not know which version waiting streams need.
func TestStreamVersionsOfWaitingStreams(t *testing.T) {
	c := clocktest.New(time.Unix(1000, 0))
	d := dispatcher(c, engineAt("a", "v1"), emptyAt("b", "v2"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		r := needing(request(c), "v2")
		r.WaitUntil = c.Now().Add(time.Minute)
		_, err := d.Acquire(ctx, r)
		ended <- err
	}()
	poll.WaitOn(t, waiting(d, 1))
	c.Advance(10 * time.Second)
	assert.Equal(t, d.Demands()[model].StreamVersions, "v2\n")
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	c.Advance(4 * time.Second)
	assert.Equal(t, d.Demands()[model].StreamVersions, "")
}
