package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/quarantine"
)

func TestKeyOf(t *testing.T) {
	base := quarantine.Request{Caller: "c", Method: "POST", Host: "h", Target: "/t", Body: []byte("b")}
	tests := map[string]struct {
		change func(*quarantine.Request)
		same   bool
	}{
		"the same":                {change: func(*quarantine.Request) {}, same: true},
		"another caller":          {change: func(r *quarantine.Request) { r.Caller = "d" }},
		"another method":          {change: func(r *quarantine.Request) { r.Method = "PUT" }},
		"another host":            {change: func(r *quarantine.Request) { r.Host = "g" }},
		"another target":          {change: func(r *quarantine.Request) { r.Target = "/u" }},
		"another body":            {change: func(r *quarantine.Request) { r.Body = []byte("c") }},
		"no body":                 {change: func(r *quarantine.Request) { r.Body = nil }},
		"parts moved into others": {change: func(r *quarantine.Request) { r.Target, r.Body = "/tb", nil }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := base
			test.change(&r)
			assert.Equal(t, quarantine.KeyOf(r) == quarantine.KeyOf(base), test.same)
		})
	}
}

func TestKeyText(t *testing.T) {
	k := quarantine.KeyOf(quarantine.Request{Target: "/t"})
	text, err := k.MarshalText()
	assert.NilError(t, err)
	var back quarantine.Key
	assert.NilError(t, back.UnmarshalText(text))
	assert.Equal(t, back, k)
	for name, bad := range map[string]string{"too short": "ab", "no digits": string(bytes.Repeat([]byte("z"), len(text)))} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, back.UnmarshalText([]byte(bad)) != nil) })
	}
}

// BenchmarkKeyOf measures the cost of a key for several body lengths.
func BenchmarkKeyOf(b *testing.B) {
	for _, size := range []int{0, 3 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size, " bytes"), func(b *testing.B) {
			r := quarantine.Request{Caller: "10.0.0.1", Method: "POST", Host: "h", Target: "/t", Body: make([]byte, size)}
			for b.Loop() {
				quarantine.KeyOf(r)
			}
		})
	}
}
