package kv_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/kv"
)

func TestRevision(t *testing.T) {
	tests := map[string]struct{ era, count int64 }{
		"none":           {},
		"first era":      {count: 7},
		"a later era":    {era: 3, count: 7},
		"the latest era": {era: 8191, count: 1<<40 - 1},
		"no write in it": {era: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := kv.NewRevision(test.era, test.count)
			assert.Equal(t, r.Era(), test.era)
			assert.Equal(t, r.Count(), test.count)
			assert.Assert(t, r < 1<<53)
			text, err := json.Marshal(r)
			assert.NilError(t, err)
			var number float64
			assert.NilError(t, json.Unmarshal(text, &number))
			assert.Equal(t, kv.Revision(number), r, "decoders keep it")
		})
	}
	assert.Assert(t, kv.NewRevision(1, 2) > kv.NewRevision(0, 1000), "a later era comes after all of an earlier one")
}
