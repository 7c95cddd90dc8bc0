package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/rotisserie/eris"
)

// keySize is the length of a Key in bytes. Finding two requests with the same Key takes some 2^64 attempts.
const keySize = 16

// A Key identifies a Trait: requests that share the trait have the same Key, even if their request IDs differ.
type Key [keySize]byte

// A Request is the part of a request that its Content is computed from. It leaves out the request ID, the deadline,
// the connection and headers that do not identify the caller.
type Request struct {
	// Caller identifies the sender by its credentials; empty if there are none. It is part of the Key so that
	// a caller cannot cause the requests of callers with other credentials to be refused.
	Caller string
	Method string
	Host   string
	// Target is the path and query as received.
	Target string
	Body   []byte
}

// KeyOf returns the Key of a request's Content, a truncated SHA-256 hash.
func KeyOf(r Request) Key {
	h := newHash(r.Caller, r.Method, r.Host, r.Target)
	_, _ = h.Write(r.Body)
	return keyFrom(h)
}

// newHash returns a hash of the lengths and the contents of some texts.
func newHash(texts ...string) hash.Hash {
	h := sha256.New()
	for _, text := range texts {
		writeLength(h, len(text))
		// Writing to a hash never fails.
		_, _ = io.WriteString(h, text)
	}
	return h
}

func keyFrom(h hash.Hash) Key {
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// writeLength writes the length of the next part, so that different parts with the same concatenation have
// different hashes.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	_, _ = h.Write(length[:])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keySize) {
		return eris.Errorf("quarantine: key must have %d hexadecimal digits, got %d", hex.EncodedLen(keySize), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return eris.Wrap(err, "quarantine: decode key")
}
