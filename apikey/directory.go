package apikey

import "crypto/sha256"

// A Digest identifies a key: the first half of its SHA-256 hash.
type Digest [sha256.Size / 2]byte

// DigestOf returns the digest of key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// A Holder is an organisation and its keys in plain text.
type Holder struct {
	Organisation string
	Keys         []string
}

// A Directory maps key digests to organisations.
type Directory struct {
	organisations []string
	// holders maps each digest to an index into organisations.
	holders map[Digest]int32
}

// New returns a Directory of the given organisations' keys. A key listed for more than one organisation
// belongs to the first one.
func New(holders []Holder) *Directory {
	keys := 0
	for _, h := range holders {
		keys += len(h.Keys)
	}
	d := &Directory{organisations: make([]string, len(holders)), holders: make(map[Digest]int32, keys)}
	for i, h := range holders {
		d.organisations[i] = h.Organisation
		for _, key := range h.Keys {
			d.add(DigestOf(key), int32(i))
		}
	}
	return d
}

func (d *Directory) add(k Digest, organisation int32) {
	if _, held := d.holders[k]; !held {
		d.holders[k] = organisation
	}
}

// Organisation returns the name of the organisation that holds a key.
func (d *Directory) Organisation(k Digest) (name string, ok bool) {
	i, ok := d.holders[k]
	if !ok {
		return "", false
	}
	return d.organisations[i], true
}

// Len returns the number of distinct keys.
func (d *Directory) Len() int { return len(d.holders) }
