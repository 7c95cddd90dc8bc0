package configsync

import (
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// historySize is the number of versions kept as bases for patches. A gateway that holds an older
// version is sent the full configuration.
const historySize = 3

// A Request asks a gateway for its configuration.
type Request struct {
	// Have is the version that the requesting gateway holds, 0 if none.
	Have uint64 `json:"have,omitempty"`
}

// A Transfer carries a configuration from one gateway to another.
type Transfer struct {
	Version uint64 `json:"version"`
	// Base is the version that Patch applies to; 0 if Patch contains the full configuration.
	Base uint64 `json:"base,omitempty"`
	// Patch is empty if the responding gateway has no version newer than Request.Have.
	Patch []byte `json:"patch,omitempty"`
}

type storedVersion struct {
	version uint64
	value   []byte
}

// A history holds the newest versions and creates transfers from them. It is safe for concurrent use.
type history struct {
	// newestVersion is the last version in versions, 0 if there is none. It is atomic so that
	// newest does not wait for mu, which is held while a patch is made.
	newestVersion atomic.Uint64

	mu sync.Mutex
	// versions is in ascending order.
	versions []storedVersion
	// patches caches the patches to the newest version, by base version.
	patches map[uint64][]byte
}

// newest returns the newest version, 0 if there is none.
func (h *history) newest() uint64 { return h.newestVersion.Load() }

// last returns the newest version with its value, or the zero value if there is none.
// h.mu must be held.
func (h *history) last() storedVersion {
	if len(h.versions) == 0 {
		return storedVersion{}
	}
	return h.versions[len(h.versions)-1]
}

// add appends a version. It ignores one that is not newer than all others.
func (h *history) add(version uint64, value []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version <= h.last().version {
		return
	}
	h.versions = append(h.versions, storedVersion{version: version, value: value})
	if len(h.versions) > historySize {
		h.versions = append([]storedVersion(nil), h.versions[len(h.versions)-historySize:]...)
	}
	h.patches = make(map[uint64][]byte)
	h.newestVersion.Store(version)
}

// value returns the bytes of a version, nil if it is not kept. h.mu must be held.
func (h *history) value(version uint64) []byte {
	for _, s := range h.versions {
		if s.version == version {
			return s.value
		}
	}
	return nil
}

// transfer returns the response to r: a patch against the requesting gateway's version, or the full
// configuration if that version is not kept. Each patch is made once and cached, because making one
// takes some 5 ms of a whole core.
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

// apply returns the configuration that a transfer carries.
func (h *history) apply(t Transfer) ([]byte, error) {
	h.mu.Lock()
	base := h.value(t.Base)
	h.mu.Unlock()
	if t.Base != 0 && len(base) == 0 {
		return nil, eris.Errorf("configsync: base version %d of the patch is not kept", t.Base)
	}
	return applyPatch(base, t.Patch)
}
