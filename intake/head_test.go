package intake_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/intake"
)

func TestHead(t *testing.T) {
	const most = 8 << 10
	lines := func(n int) string { return strings.Repeat("a:\r\n", n) }
	tests := map[string]struct {
		parts  []string
		most   int
		memory int64
		want   intake.HeadVerdict
		// held reports whether the head is counted in the memory at the end.
		held bool
	}{
		"ordinary":                         {parts: []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}, most: most, memory: 1},
		"as long as permitted":             {parts: []string{strings.Repeat("x", most)}, most: most, held: true},
		"read together with a body":        {parts: []string{strings.Repeat("x", most), "\r\n\r\n" + strings.Repeat("\n", 4000)}, most: most, held: true},
		"too long":                         {parts: []string{strings.Repeat("x", most), strings.Repeat("x", 4097)}, most: most, want: intake.HeadTooLarge, held: true},
		"any length":                       {parts: []string{strings.Repeat("x", 1<<20)}, held: true},
		"short lines, enough memory":       {parts: []string{lines(1000)}, most: most, memory: 310_000, held: true},
		"short lines, not enough memory":   {parts: []string{lines(1000)}, most: most, memory: 300_000, want: intake.HeadsTooMany},
		"one long line in the same memory": {parts: []string{strings.Repeat("x", 4000)}, most: most, memory: 300_000, held: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			memory := intake.NewHeadMemory(test.memory)
			head := memory.NewHead()
			var got intake.HeadVerdict
			for _, part := range test.parts {
				got = head.Add([]byte(part), test.most)
			}
			assert.Equal(t, got, test.want)
			assert.Equal(t, memory.Used() > 0, test.held)
			head.Release()
			assert.Equal(t, memory.Used(), int64(0))
		})
	}
}

// TestHeadsShareTheirMemory checks that heads are counted together, and that a refused or released one leaves room for others.
func TestHeadsShareTheirMemory(t *testing.T) {
	large := []byte(strings.Repeat("x", 8<<10))
	memory := intake.NewHeadMemory(20 << 10)
	first, second := memory.NewHead(), memory.NewHead()
	assert.Equal(t, first.Add(large, 0), intake.HeadFits)
	assert.Equal(t, second.Add(large, 0), intake.HeadsTooMany)
	second.Release()
	first.Release()
	assert.Equal(t, second.Add(large, 0), intake.HeadFits)
}
