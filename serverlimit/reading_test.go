package serverlimit_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/serverlimit"
)

func TestRead(t *testing.T) {
	limited := func(rate float64) serverlimit.HeaderLimit {
		return serverlimit.HeaderLimit{Kind: serverlimit.Limited, PerSecond: rate}
	}
	invalid := serverlimit.HeaderLimit{Kind: serverlimit.Invalid}
	tests := map[string]struct {
		values []string
		want   serverlimit.HeaderLimit
	}{
		"no header":        {want: serverlimit.HeaderLimit{Kind: serverlimit.NoLimit}},
		"decimal":          {values: []string{"1.8"}, want: limited(1.8)},
		"whole":            {values: []string{"12"}, want: limited(12)},
		"zero":             {values: []string{"0"}, want: limited(0)},
		"zero point zero":  {values: []string{"0.0"}, want: limited(0)},
		"blanks around":    {values: []string{" 1.8\t"}, want: limited(1.8)},
		"point at the end": {values: []string{"3."}, want: limited(3)},
		"blank":            {values: []string{""}, want: invalid},
		"only blanks":      {values: []string{"  "}, want: invalid},
		"doubled":          {values: []string{"1.8", "1.8"}, want: invalid},
		"a list":           {values: []string{"1.8, 2.1"}, want: invalid},
		"negative":         {values: []string{"-1"}, want: invalid},
		"plus":             {values: []string{"+1"}, want: invalid},
		"not a number":     {values: []string{"NaN"}, want: invalid},
		"infinite":         {values: []string{"Inf"}, want: invalid},
		"exponent":         {values: []string{"1e3"}, want: invalid},
		"hexadecimal":      {values: []string{"0x1p3"}, want: invalid},
		"underscore":       {values: []string{"1_000"}, want: invalid},
		"point only":       {values: []string{"."}, want: invalid},
		"point first":      {values: []string{".5"}, want: invalid},
		"two points":       {values: []string{"1.2.3"}, want: invalid},
		"huge":             {values: []string{"99999999999"}, want: invalid},
		"long":             {values: []string{strings.Repeat("0", 40)}, want: invalid},
		"unit":             {values: []string{"2/s"}, want: invalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, serverlimit.ParseHeader(test.values), test.want)
		})
	}
}

// FuzzRead checks that ParseHeader returns only finite rates in the valid range, and never NoLimit for a present
// header.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"1.8", "-0", "1e400", "nan", "0x10", "١", "9999999999999999999999", "1."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		r := serverlimit.ParseHeader([]string{value})
		switch r.Kind {
		case serverlimit.Limited:
			if math.IsNaN(r.PerSecond) || r.PerSecond < 0 || r.PerSecond > 1e6 {
				t.Fatalf("ParseHeader(%q) returned rate %v", value, r.PerSecond)
			}
		case serverlimit.NoLimit:
			t.Fatalf("ParseHeader(%q) returned no limit", value)
		}
	})
}
