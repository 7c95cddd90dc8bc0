package gateway

import (
	"encoding/json"
	"sync"

	"rockcleat/internal/wire"
	"rockcleat/kv"
)

// minOmittedEvents is the number of entries from which the list of a prefix is left out of replies to polls and requested
// separately. Such a list is encoded once for all gateways that request it.
const minOmittedEvents = 64

// omitLists leaves large lists out of batches.
func omitLists(batches map[string]kv.Batch) {
	for prefix, b := range batches {
		if b.Full && len(b.Events) >= minOmittedEvents {
			b.Events, b.Omitted = nil, true
			batches[prefix] = b
		}
	}
}

// A listRequest requests all entries of a prefix.
type listRequest struct {
	Prefix string `json:"prefix"`
}

// An encodedList is the encoded list of a prefix.
type encodedList struct {
	at      kv.Revision
	keyHash uint32
	message wire.Encoded
}

// A listCache encodes the list of each prefix once for all gateways that request it. When all gateways start, eight of
// them request the same list together, and encoding it takes a small VM longer than sending it.
type listCache struct {
	fanout *kv.Fanout

	// mu is held while a list is encoded, so that uncompressed lists are in memory one by one.
	mu    sync.Mutex
	lists map[string]encodedList
}

func newListCache(f *kv.Fanout) *listCache {
	return &listCache{fanout: f, lists: make(map[string]encodedList)}
}

// list returns the encoded list of a prefix; ok is false if the prefix is not known completely.
func (c *listCache) list(prefix string) (message wire.Encoded, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.fanout.Progress()
	at := known.Revisions[prefix]
	keyHash, complete := known.KeyHashes[prefix]
	if !complete {
		return wire.Encoded{}, false, nil
	}
	if l, cached := c.lists[prefix]; cached && l.at == at && l.keyHash == keyHash {
		return l.message, true, nil
	}
	batch, ok := c.fanout.List(prefix)
	if !ok {
		return wire.Encoded{}, false, nil
	}
	body, err := json.Marshal(batch)
	if err != nil {
		return wire.Encoded{}, false, err
	}
	message, err = wire.Encode(body)
	if err != nil {
		return wire.Encoded{}, false, err
	}
	c.lists[prefix] = encodedList{at: at, keyHash: keyHash, message: message}
	return message, true, nil
}
