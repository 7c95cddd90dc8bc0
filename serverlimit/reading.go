package serverlimit

import (
	"strconv"
	"strings"
)

// A Kind says whether a response states a limit.
type Kind int

// The kinds of limit headers.
const (
	// None means that the response states no limit, so the server has none.
	None Kind = iota
	// Named means that the response states a limit.
	Named
	// Unreadable means that the header is invalid. The response says nothing about the limit.
	Unreadable
)

// A Reading is the parsed limit header of one response.
type Reading struct {
	Kind Kind
	// PerSecond is the limit if Kind is Named, in requests per second.
	PerSecond float64
}

const (
	// maxRateLength is the maximum length of a rate in the header, in bytes.
	maxRateLength = 24
	// maxPerSecond is the maximum rate, in requests per second. It is above the rate of any server.
	maxPerSecond = 1e6
)

// Read parses the values of the limit header of a response. Valid are a single decimal number without sign or
// exponent, or no value. A repeated header is invalid, since the values may contradict each other.
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

// isDecimal reports whether the text consists of digits with at most one decimal point, which is not first.
func isDecimal(text string) bool {
	whole, fraction, _ := strings.Cut(text, ".")
	return len(text) <= maxRateLength && whole != "" && isDigits(whole) && isDigits(fraction)
}

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
