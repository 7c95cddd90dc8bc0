package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRun guards against requests that are counted in the wrong second, at the wrong service, or not scaled by the entries
// that were left out.
func TestRun(t *testing.T) {
	log, err := os.Open("testdata/day.jsonl")
	assert.NilError(t, err)
	defer log.Close()
	var out strings.Builder
	assert.NilError(t, run(log, &out))
	assert.Equal(t, out.String(), `second service refused in_use not_logged owner_running owner_slots owner_queued
0 chat 0 3.0 2.0 - - -
1 chat 1 1.7 1.0 - - -
1 lookup 1 0.1 0.0 - - -
2 chat 0 0.3 0.0 6 48 2
3 chat 1 0.0 0.0 - - -
requests not logged: 4 counted like logged ones, 3 not counted
`)
}

// TestOccupied guards against time that a request waited, or was not sent, and that counts as use of a slot.
func TestOccupied(t *testing.T) {
	tests := map[string]struct {
		entry entry
		want  map[int64]float64
	}{
		"within a second": {entry: entry{TS: 5750, Total: 0.5, Sends: 1, Server: "s"}, want: map[int64]float64{5: 0.5}},
		"two seconds":     {entry: entry{TS: 6250, Total: 0.5, Sends: 1, Server: "s"}, want: map[int64]float64{5: 0.25, 6: 0.25}},
		"waited":          {entry: entry{TS: 6250, Total: 0.5, Waited: 0.25, Sends: 1, Server: "s"}, want: map[int64]float64{6: 0.25}},
		"not sent":        {entry: entry{TS: 6250, Total: 0.5}, want: map[int64]float64{}},
		"at the second":   {entry: entry{TS: 6000, Total: 1, Sends: 1, Server: "s"}, want: map[int64]float64{5: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDay()
			d.occupy(test.entry, 1, false)
			got := make(map[int64]float64)
			for k, r := range d.rows {
				got[k.second] = r.inUse
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestGateway guards against entries of two gateways that are scaled together.
func TestGateway(t *testing.T) {
	tests := map[string]struct {
		entry  entry
		prefix string
		want   string
	}{
		"field":  {entry: entry{VM: "a"}, prefix: " 1.25 b ", want: "a"},
		"prefix": {prefix: " 1.25 b ", want: "b"},
		"none":   {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.entry.gateway(nameIn([]byte(test.prefix))), test.want)
		})
	}
}
