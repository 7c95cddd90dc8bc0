package apikey

import (
	"errors"
	"strings"
)

// Header is the header of a request that carries its key.
const Header = "Authorization"

// Scheme is the authentication scheme of keys (RFC 6750); its case does not matter.
const Scheme = "Bearer"

// Outcomes of FromHeader for a request without a usable key.
var (
	// ErrMissing says that there is no header.
	ErrMissing = errors.New("apikey: no key")
	// ErrRepeated says that there is more than one header: which one counts is open.
	ErrRepeated = errors.New("apikey: more than one key")
	// ErrScheme says that the header is of another scheme.
	ErrScheme = errors.New("apikey: not a bearer key")
	// ErrMalformed says that what follows the scheme is no key.
	ErrMalformed = errors.New("apikey: malformed key")
)

// FromHeader returns the digest of the key in a request's Authorization headers.
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

// isToken reports whether a text is a token68 (RFC 9110): letters, digits and -._~+/, then any number of =.
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
