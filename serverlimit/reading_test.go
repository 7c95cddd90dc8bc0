package serverlimit_test

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/serverlimit"
)

func TestRead(t *testing.T) {
	named := func(rate float64) serverlimit.Reading {
		return serverlimit.Reading{Kind: serverlimit.Named, PerSecond: rate}
	}
	unreadable := serverlimit.Reading{Kind: serverlimit.Unreadable}
	tests := map[string]struct {
		values []string
		want   serverlimit.Reading
	}{
		"no header":        {want: serverlimit.Reading{Kind: serverlimit.None}},
		"decimal":          {values: []string{"1.8"}, want: named(1.8)},
		"whole":            {values: []string{"12"}, want: named(12)},
		"zero":             {values: []string{"0"}, want: named(0)},
		"zero point zero":  {values: []string{"0.0"}, want: named(0)},
		"blanks around":    {values: []string{" 1.8\t"}, want: named(1.8)},
		"point at the end": {values: []string{"3."}, want: named(3)},
		"blank":            {values: []string{""}, want: unreadable},
		"only blanks":      {values: []string{"  "}, want: unreadable},
		"doubled":          {values: []string{"1.8", "1.8"}, want: unreadable},
		"a list":           {values: []string{"1.8, 2.1"}, want: unreadable},
		"negative":         {values: []string{"-1"}, want: unreadable},
		"plus":             {values: []string{"+1"}, want: unreadable},
		"not a number":     {values: []string{"NaN"}, want: unreadable},
		"infinite":         {values: []string{"Inf"}, want: unreadable},
		"exponent":         {values: []string{"1e3"}, want: unreadable},
		"hexadecimal":      {values: []string{"0x1p3"}, want: unreadable},
		"underscore":       {values: []string{"1_000"}, want: unreadable},
		"point only":       {values: []string{"."}, want: unreadable},
		"point first":      {values: []string{".5"}, want: unreadable},
		"two points":       {values: []string{"1.2.3"}, want: unreadable},
		"huge":             {values: []string{"99999999999"}, want: unreadable},
		"long":             {values: []string{strings.Repeat("0", 40)}, want: unreadable},
		"unit":             {values: []string{"2/s"}, want: unreadable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, serverlimit.Read(test.values), test.want)
		})
	}
}

// FuzzRead checks that Read returns only finite rates in the valid range, and never None for a present header.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"1.8", "-0", "1e400", "nan", "0x10", "١", "9999999999999999999999", "1."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		r := serverlimit.Read([]string{value})
		switch r.Kind {
		case serverlimit.Named:
			if math.IsNaN(r.PerSecond) || r.PerSecond < 0 || r.PerSecond > 1e6 {
				t.Fatalf("Read(%q) returned rate %v", value, r.PerSecond)
			}
		case serverlimit.None:
			t.Fatalf("Read(%q) returned no limit", value)
		}
	})
}
