package serverlimit

import "rockcleat/internal/decimal"

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

// maxPerSecond is the maximum rate, in requests per second. It is above the rate of any server.
const maxPerSecond = 1e6

// ParseHeader parses the values of the limit header of a response. Valid are a single decimal number without sign or
// exponent, or no value. A repeated header is invalid, since the values may contradict each other.
func ParseHeader(values []string) HeaderLimit {
	switch len(values) {
	case 0:
		return HeaderLimit{Kind: NoLimit}
	case 1:
		return parse(values[0])
	}
	return HeaderLimit{Kind: Invalid}
}

func parse(text string) HeaderLimit {
	rate, ok := decimal.Parse(text)
	if !ok || rate > maxPerSecond {
		return HeaderLimit{Kind: Invalid}
	}
	return HeaderLimit{Kind: Limited, PerSecond: rate}
}
