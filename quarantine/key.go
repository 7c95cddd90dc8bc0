package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/rotisserie/eris"
)

// keySize is the length of a Key in bytes: a caller who wants two requests to share one has to try
// some 2^64 of them.
const keySize = 16

// A Key identifies the content of a request: two requests with the same Key are copies of each other,
// whatever their ids.
type Key [keySize]byte

// A Request is what makes two requests copies of each other. The rest may differ: the request's id,
// its deadline, the connection that it comes on and headers that do not name the caller.
type Request struct {
	// Caller is whoever sends it, by its credentials; empty without any. With the caller in the key
	// nobody who has credentials can have the requests of others refused.
	Caller string
	Method string
	Host   string
	// Target is the path with its query, as it was sent.
	Target string
	Body   []byte
}

// KeyOf returns the key of a request. One of 3 KB takes 2.8 µs, one of 1 MB 0.8 ms
// (BenchmarkKeyOf).
func KeyOf(r Request) Key {
	h := sha256.New()
	for _, part := range []string{r.Caller, r.Method, r.Host, r.Target} {
		writeLength(h, len(part))
		// A hash never returns an error.
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// writeLength writes the length of the part that follows, so that parts cannot run into each other.
func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	_, _ = h.Write(length[:])
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keySize) {
		return eris.Errorf("quarantine: a key has %d hexadecimal digits, not %d", hex.EncodedLen(keySize), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return eris.Wrap(err, "quarantine: decode key")
}
