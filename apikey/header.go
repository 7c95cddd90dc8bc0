package apikey

import (
	"errors"
	"strings"
)

// Header is the name of the request header that carries the key.
const Header = "Authorization"

// Scheme is the authentication scheme of keys (RFC 6750). It is matched without regard to case.
const Scheme = "Bearer"

// Errors returned by FromHeader for a request without a usable key.
var (
	// ErrMissing means that the request has no Authorization header.
	ErrMissing = errors.New("apikey: no key")
	// ErrRepeated means that the request has more than one Authorization header, so that its key is
	// ambiguous.
	ErrRepeated = errors.New("apikey: more than one key")
	// ErrScheme means that the header has another authentication scheme.
	ErrScheme = errors.New("apikey: not a bearer key")
	// ErrMalformed means that the text after the scheme is not a valid key.
	ErrMalformed = errors.New("apikey: malformed key")
)

// FromHeader returns the digest of the key, given the values of a request's Authorization headers.
func FromHeader(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, ErrMissing
	case 1:
	default:
		return Digest{}, ErrRepeated
	}
	scheme, key, found := strings.Cut(strings.Trim(values[0], " \t"), " ")
	if !strings.EqualFold(scheme, Scheme) {
		return Digest{}, ErrScheme
	}
	key = strings.TrimLeft(key, " ")
	if !found || !isToken(key) {
		return Digest{}, ErrMalformed
	}
	return DigestOf(key), nil
}

// isToken reports whether s is a token68 (RFC 9110): letters, digits and -._~+/, then any number of =.
func isToken(s string) bool {
	s = strings.TrimRight(s, "=")
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("-._~+/", c) >= 0
}
