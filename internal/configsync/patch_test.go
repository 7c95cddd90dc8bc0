package configsync

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// config returns a configuration with a number of routes. The one at index moved, if any, has another service.
func config(version, routes, moved int) []byte {
	names := rand.New(rand.NewPCG(1, 0))
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		service := "app"
		if i == moved {
			service = "other"
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%02d.example","prefix":"/%08x/","kind":"stream","timeout_ms":15000,"objective_ms":1000,`+
			`"priority":1,"service":%q,"attempts":2,"sticky":true,"resumable":true,"gap_ms":300},`, names.Uint32()>>4, i%40, names.Uint32(), service)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// noRoute is not the index of any route.
const noRoute = -1

// TestPatchGivesTheSameBytes checks that applying a patch yields the value, and that patches stay small.
func TestPatchGivesTheSameBytes(t *testing.T) {
	large := config(2, 4400, noRoute)
	tests := map[string]struct {
		base, value []byte
		// most is the maximum patch size in bytes.
		most int
	}{
		"nothing known":        {value: large, most: 80_000},
		"1,400 routes more":    {base: config(1, 3000, noRoute), value: large, most: 26_000},
		"one route moved":      {base: large, value: config(3, 4400, 2000), most: 1000},
		"1,400 routes removed": {base: large, value: config(3, 3000, noRoute), most: 1000},
		"nothing in common":    {base: bytes.Repeat([]byte("x"), 1000), value: []byte("something else"), most: 100},
		"first value is empty": {value: []byte{}, most: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			patch, err := makePatch(test.base, test.value)
			assert.NilError(t, err)
			assert.Assert(t, len(patch) <= test.most, "%d bytes", len(patch))
			value, err := applyPatch(test.base, patch)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(value, test.value))
		})
	}
}

// TestPatchOnAnotherBaseIsRefused checks that a patch applied to a base other than its own fails.
func TestPatchOnAnotherBaseIsRefused(t *testing.T) {
	patch, err := makePatch(config(1, 100, noRoute), config(2, 100, 50))
	assert.NilError(t, err)
	for name, base := range map[string][]byte{"another": config(1, 100, 7), "shorter": config(1, 50, noRoute), "none": nil} {
		t.Run(name, func(t *testing.T) {
			_, err := applyPatch(base, patch)
			assert.Assert(t, err != nil)
		})
	}
}

// BenchmarkPatch reports the cost of making and applying patches by number of routes, and the sizes of patch and value.
func BenchmarkPatch(b *testing.B) {
	for _, routes := range []int{400, 4400} {
		old, changed := config(1, routes, noRoute), config(2, routes, routes/2)
		for name, base := range map[string][]byte{"whole": nil, "changed": old} {
			b.Run(fmt.Sprintf("make/%s/%d", name, routes), func(b *testing.B) {
				size := 0
				for b.Loop() {
					patch, err := makePatch(base, changed)
					assert.NilError(b, err)
					size = len(patch)
				}
				b.ReportMetric(float64(size), "patch_bytes")
				b.ReportMetric(float64(len(changed)), "value_bytes")
			})
			b.Run(fmt.Sprintf("apply/%s/%d", name, routes), func(b *testing.B) {
				patch, err := makePatch(base, changed)
				assert.NilError(b, err)
				for b.Loop() {
					_, err := applyPatch(base, patch)
					assert.NilError(b, err)
				}
			})
		}
	}
}
