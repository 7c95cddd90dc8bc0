// Package decimal parses the decimal numbers in headers that other systems send.
//
// It accepts fewer notations than strconv: no sign, exponent, infinity or NaN, and no more than MaxLength bytes, so that
// a parsed number is finite and not negative. It owns no state and depends on nothing.
package decimal

import (
	"strconv"
	"strings"
)

// MaxLength is the maximum length of a number, in bytes.
const MaxLength = 24

// Parse returns the number in a text that consists of digits with at most one decimal point, which is not first. Blanks
// and tabs around it are ignored. ok is false for any other text.
func Parse(text string) (x float64, ok bool) {
	text = strings.Trim(text, " \t")
	whole, fraction, _ := strings.Cut(text, ".")
	if len(text) > MaxLength || whole == "" || !isDigits(whole) || !isDigits(fraction) {
		return 0, false
	}
	x, err := strconv.ParseFloat(text, 64)
	return x, err == nil
}

func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }
