package serverlimit

import (
	"strconv"
	"strings"
)

// A Kind says what an answer tells of its server's limit.
type Kind int

// The kinds of readings.
const (
	// None says that the answer names no limit, so that the server has none.
	None Kind = iota
	// Named says that the answer names a limit.
	Named
	// Unreadable says that what stands in the answer is no rate: it tells nothing.
	Unreadable
)

// A Reading is what one answer tells of its server's limit.
type Reading struct {
	Kind Kind
	// PerSecond is the limit, if one is named.
	PerSecond float64
}

const (
	// maxDigits bounds the length of a rate as a server writes it.
	maxDigits = 24
	// maxPerSecond is above what any server takes: a number beyond it is a mistake.
	maxPerSecond = 1e6
)

// Read returns what the values of an answer's header tell: one decimal number without sign or exponent, or
// no value at all. A header that stands there twice is unreadable, since nothing says which one counts.
func Read(values []string) Reading {
	switch len(values) {
	case 0:
		return Reading{Kind: None}
	case 1:
		return parse(strings.Trim(values[0], " \t"))
	}
	return Reading{Kind: Unreadable}
}

func parse(text string) Reading {
	if !isDecimal(text) {
		return Reading{Kind: Unreadable}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate > maxPerSecond {
		return Reading{Kind: Unreadable}
	}
	return Reading{Kind: Named, PerSecond: rate}
}

// isDecimal reports whether a text is digits, with at most one point between or after them.
func isDecimal(text string) bool {
	whole, fraction, _ := strings.Cut(text, ".")
	return len(text) <= maxDigits && whole != "" && isDigits(whole) && isDigits(fraction)
}

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
