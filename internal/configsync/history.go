package configsync

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// keptVersions is how many versions are kept to make patches on: a gateway that is more than
// two behind gets the whole value, 56 KB of 4,400 routes. Three of them take 3 MB of memory at
// most.
const keptVersions = 3

// A Request asks a gateway for its configuration.
type Request struct {
	// Have is the version that the asking gateway holds, 0 if none.
	Have uint64 `json:"have,omitempty"`
}

// A Transfer carries a configuration from one gateway to another.
type Transfer struct {
	Version uint64 `json:"version"`
	// Base is the version that Patch is made on, 0 for none.
	Base uint64 `json:"base,omitempty"`
	// Patch is empty if the asking gateway holds nothing older.
	Patch []byte `json:"patch,omitempty"`
}

// A stored is one version as the store has it.
type stored struct {
	version uint64
	value   []byte
}

// A history holds the newest versions and makes transfers of them. It is safe for concurrent use.
type history struct {
	// newestVersion is that of the last version, 0 if there is none. It is read without the
	// lock, which is held while a patch is made: replies to reports do not wait for that.
	newestVersion atomic.Uint64

	mu sync.Mutex
	// versions are in rising order, the last is the newest.
	versions []stored
	// patches are those made of the newest version so far, by base.
	patches map[uint64][]byte
}

// newest returns the newest version, 0 if there is none.
func (h *history) newest() uint64 { return h.newestVersion.Load() }

// last returns the newest version; the zero stored if there is none. The lock is held.
func (h *history) last() stored {
	if len(h.versions) == 0 {
		return stored{}
	}
	return h.versions[len(h.versions)-1]
}

// add adds a version that is newer than all others; an older one changes nothing.
func (h *history) add(version uint64, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.last().version {
		return
	}
	h.versions = append(h.versions, stored{version: version, value: value})
	if len(h.versions) > keptVersions {
		h.versions = append([]stored(nil), h.versions[len(h.versions)-keptVersions:]...)
	}
	h.patches = make(map[uint64][]byte)
	h.newestVersion.Store(version)
}

// value returns a version's bytes; empty if it is not kept. The lock is held.
func (h *history) value(version uint64) []byte {
	for _, s := range h.versions {
		if s.version == version {
			return s.value
		}
	}
	return nil
}

// transfer returns what a gateway needs that holds a version. A patch is made once, however many
// ask: making one takes some 5 ms of a whole core.
func (h *history) transfer(r Request) (Transfer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.last()
	t := Transfer{Version: last.version}
	if r.Have >= last.version {
		return t, nil
	}
	base := h.value(r.Have)
	if len(base) > 0 {
		t.Base = r.Have
	}
	if p, ok := h.patches[t.Base]; ok {
		t.Patch = p
		return t, nil
	}
	p, err := makePatch(base, last.value)
	if err != nil {
		return Transfer{}, err
	}
	h.patches[t.Base] = p
	t.Patch = p
	return t, nil
}

// restore returns the configuration that a transfer carries.
func (h *history) restore(t Transfer) ([]byte, error) {
	h.mu.Lock()
	base := h.value(t.Base)
	h.mu.Unlock()
	if t.Base != 0 && len(base) == 0 {
		return nil, eris.Errorf("configsync: a patch on version %d, which is not kept", t.Base)
	}
	return applyPatch(base, t.Patch)
}
