package resumption

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// keySize is the length of a Key in bytes.
const keySize = 16

// A Key identifies a stream.
type Key [keySize]byte

// KeyOf returns the Key of the stream that a request began. The organisation is part of it, so that requests of one
// organisation cannot refer to streams of another. requestID is the ID of the attempt that brought the first event.
func KeyOf(organisation, requestID string) Key {
	// The length separates the two parts.
	b := binary.BigEndian.AppendUint64(nil, uint64(len(organisation)))
	b = append(b, organisation...)
	b = append(b, requestID...)
	sum := sha256.Sum256(b)
	return Key(sum[:keySize])
}

// hash returns the part of the key that is used to choose its holders.
func (k Key) hash() uint64 { return binary.BigEndian.Uint64(k[:]) }

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keySize) {
		return eris.Errorf("resumption: key of %d characters", len(text))
	}
	_, err := hex.Decode(k[:], text)
	return eris.Wrap(err, "resumption: decode key")
}
