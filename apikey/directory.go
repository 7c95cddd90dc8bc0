package apikey

import "crypto/sha256"

// A Digest is what is kept of a key: half of its SHA-256.
type Digest [sha256.Size / 2]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:len(Digest{})])
}

// A Holder is an organisation and its keys.
type Holder struct {
	Organisation string
	Keys         []string
}

// A Directory holds the keys of all organisations by digest.
type Directory struct {
	organisations []string
	// holders are indexes into organisations.
	holders map[Digest]int32
}

// New returns the directory of all keys of some organisations. A key of two organisations counts as the
// first one's.
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

// add adds a key of the organisation at an index, unless an earlier one holds it.
func (d *Directory) add(k Digest, organisation int32) {
	if _, held := d.holders[k]; !held {
		d.holders[k] = organisation
	}
}

// Organisation returns the organisation that holds a key.
func (d *Directory) Organisation(k Digest) (name string, ok bool) {
	i, ok := d.holders[k]
	if !ok {
		return "", false
	}
	return d.organisations[i], true
}

// Len returns the number of keys.
func (d *Directory) Len() int { return len(d.holders) }
