package serverlimit

import (
	"strconv"
	"strings"
)

// A HeaderKind says whether a response announces a limit.
type HeaderKind int

// The kinds of limit headers.
const (
	// NoLimit means that the response announces no limit, so the server has none.
	NoLimit HeaderKind = iota
	// Limited means that the response announces a limit.
	Limited
	// Invalid means that the header is invalid. The response says nothing about the limit.
	Invalid
)

// A HeaderLimit is the parsed limit header of one response.
type HeaderLimit struct {
	Kind HeaderKind
	// PerSecond is the limit if Kind is Limited, in requests per second.
	PerSecond float64
}

const (
	// maxRateLength is the maximum length of a rate in the header, in bytes.
	maxRateLength = 24
	// maxPerSecond is the maximum rate, in requests per second. It is above the rate of any server.
	maxPerSecond = 1e6
)

// ParseHeader parses the values of the limit header of a response. Valid are a single decimal number without sign or
// exponent, or no value. A repeated header is invalid, since the values may contradict each other.
func ParseHeader(values []string) HeaderLimit {
	switch len(values) {
	case 0:
		return HeaderLimit{Kind: NoLimit}
	case 1:
		return parse(strings.Trim(values[0], " \t"))
	}
	return HeaderLimit{Kind: Invalid}
}

func parse(text string) HeaderLimit {
	if !isDecimal(text) {
		return HeaderLimit{Kind: Invalid}
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || rate > maxPerSecond {
		return HeaderLimit{Kind: Invalid}
	}
	return HeaderLimit{Kind: Limited, PerSecond: rate}
}

// isDecimal reports whether the text consists of digits with at most one decimal point, which is not first.
func isDecimal(text string) bool {
	whole, fraction, _ := strings.Cut(text, ".")
	return len(text) <= maxRateLength && whole != "" && isDigits(whole) && isDigits(fraction)
}

func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
