package decimal_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/internal/decimal"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want float64
		ok   bool
	}{
		"whole":       {text: "3", want: 3, ok: true},
		"zero":        {text: "0", want: 0, ok: true},
		"fraction":    {text: "0.25", want: 0.25, ok: true},
		"bare point":  {text: "3.", want: 3, ok: true},
		"blanks":      {text: " 3\t", want: 3, ok: true},
		"empty":       {text: ""},
		"sign":        {text: "-1"},
		"plus":        {text: "+1"},
		"no digit":    {text: ".5"},
		"two points":  {text: "1.2.3"},
		"exponent":    {text: "1e300"},
		"hexadecimal": {text: "0x10"},
		"NaN":         {text: "NaN"},
		"infinite":    {text: "Inf"},
		"date":        {text: "Thu, 03 Dec 2026 18:00:00 GMT"},
		"too long":    {text: "1000000000000000000000000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := decimal.Parse(test.text)
			assert.Equal(t, ok, test.ok)
			assert.Equal(t, got, test.want)
		})
	}
}
