package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `
  25.2353 vm-1 {"ts":1000,"msg":"started","vm":"vm-1"}
  25.2400 vm-2 {"ts":1010,"msg":"started","vm":"vm-2"}
not an entry
{"ts":1100,"msg":"configuration in force","vm":"vm-1","version":7}
{"ts":1300,"msg":"configuration in force","vm":"vm-2","version":7}
{"ts":1350,"msg":"configuration in force","vm":"vm-2","version":7}
{"ts":2000,"msg":"configuration in force","vm":"vm-1","version":8}
{"ts":2000,"msg":"cut o
`

// TestRead checks the times of events from the first gateway, and from each gateway's own start.
func TestRead(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := map[string]struct {
		query query
		want  map[string][]time.Duration
	}{
		"by version": {
			query: query{event: "configuration in force", field: "version"},
			want:  map[string][]time.Duration{"7": {0, ms(200)}, "8": {0}},
		},
		"since the start": {
			query: query{event: "configuration in force", field: "version", since: "started"},
			want:  map[string][]time.Duration{"7": {ms(100), ms(290)}, "8": {ms(1000)}},
		},
		"since the last start": {
			query: query{event: "configuration in force", since: "configuration in force"},
			want:  map[string][]time.Duration{"": {0, 0}},
		},
		"any version": {query: query{event: "configuration in force"}, want: map[string][]time.Duration{"": {0, ms(200)}}},
		"no event":    {query: query{event: "something else"}, want: map[string][]time.Duration{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			spreads, err := read(strings.NewReader(log), test.query)
			assert.NilError(t, err)
			got := make(map[string][]time.Duration)
			for _, s := range spreads {
				got[s.key] = s.times
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// TestPercentile checks that a percentile is rounded up to whole gateways.
func TestPercentile(t *testing.T) {
	s := spread{times: []time.Duration{1, 2, 3, 4}}
	assert.Equal(t, s.percentile(50), time.Duration(2))
	assert.Equal(t, s.percentile(95), time.Duration(4))
	assert.Equal(t, s.percentile(100), time.Duration(4))
	assert.Equal(t, spread{times: []time.Duration{9}}.percentile(50), time.Duration(9))
}
