package apikey_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/apikey"
)

func TestDirectory(t *testing.T) {
	d := apikey.New([]apikey.Holder{
		{Organisation: "guild", Keys: []string{"a", "b"}},
		{Organisation: "desk", Keys: []string{"b", "c"}},
		{Organisation: "none"},
	})
	tests := map[string]struct {
		key, holder string
		ok          bool
	}{
		"first organisation's":  {key: "a", holder: "guild", ok: true},
		"second organisation's": {key: "c", holder: "desk", ok: true},
		"of two organisations":  {key: "b", holder: "guild", ok: true},
		"unknown":               {key: "d"},
		"empty":                 {key: ""},
		"an organisation":       {key: "guild"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			holder, ok := d.Organisation(apikey.DigestOf(test.key))
			assert.Equal(t, ok, test.ok)
			assert.Equal(t, holder, test.holder)
		})
	}
	assert.Equal(t, d.Len(), 3)
}

// manyHolders returns 16 organisations with 100,000 keys in total, 20 characters each.
func manyHolders() []apikey.Holder {
	const organisations, keys = 16, 100_000
	holders := make([]apikey.Holder, organisations)
	for i := range keys {
		h := &holders[i%organisations]
		h.Organisation = fmt.Sprint("org", i%organisations)
		h.Keys = append(h.Keys, fmt.Sprintf("k%019d", i))
	}
	return holders
}

func BenchmarkNew(b *testing.B) {
	holders := manyHolders()
	b.ReportAllocs()
	for b.Loop() {
		apikey.New(holders)
	}
}

func BenchmarkOrganisation(b *testing.B) {
	holders := manyHolders()
	d := apikey.New(holders)
	header := []string{"Bearer " + holders[3].Keys[7]}
	b.ReportAllocs()
	for b.Loop() {
		k, err := apikey.FromHeader(header)
		if err != nil {
			b.Fatal(err)
		}
		if _, ok := d.Organisation(k); !ok {
			b.Fatal("key not found")
		}
	}
}
