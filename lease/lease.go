package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/kv"
)

// keyPrefix is the prefix of the keys of leases in the service.
const keyPrefix = "lease/"

// clockDriftDivisor sets the fraction of the TTL by which a holder stops before the service ends
// its lease, to allow for clock drift.
const clockDriftDivisor = 5

// A Store is the part of kv.Store that a Holder uses.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Put(ctx context.Context, w kv.Write) (kv.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) error
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// A Token is a fencing token: the revision of the lease's record. A later holder's token is always
// higher, also across eras of the service.
type Token int64

// A Record is the JSON value of a lease's key.
type Record struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr"`
}

// Options configure a Holder.
type Options struct {
	// Name is the name of the lease.
	Name string
	// Holder and Addr are written into the record; Holder identifies this process.
	Holder string
	Addr   string
	// TTL is the time after which the service ends a lease that is not renewed.
	TTL time.Duration
	// Delay, if not nil, returns how long to wait before acquiring a free lease, so that many
	// processes do not contend at once.
	Delay func() time.Duration
}

// A Holder acquires and renews one lease for this process. It is safe for concurrent use.
type Holder struct {
	store Store
	clock clock.Service
	opts  Options

	mu      sync.Mutex
	leaseID kv.LeaseID
	token   Token
	expiry  time.Time
	other   Record
	// seenOther reports whether another holder's record was ever read.
	seenOther bool
}

// New returns a Holder that does not hold the lease yet.
func New(store Store, c clock.Service, o Options) *Holder {
	return &Holder{store: store, clock: c, opts: o}
}

// Name returns the lease's name.
func (h *Holder) Name() string { return h.opts.Name }

// Key returns the key of the lease's record in the service.
func (h *Holder) Key() string { return keyPrefix + h.opts.Name }

// Held returns the fencing token and reports whether the lease is certain to be held still.
func (h *Holder) Held() (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.token, h.token != 0 && h.clock.Now().Before(h.expiry)
}

// OtherHolder returns the record last seen under the lease's key; it may be this Holder's own. It
// is zero if none was seen.
func (h *Holder) OtherHolder() Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.other
}

// HasSeenOther reports whether the record of another holder was ever read.
func (h *Holder) HasSeenOther() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seenOther
}

// Step renews the lease if it is held and tries to acquire it otherwise. A lease held by another
// process is not an error; Step does not wait for it.
//
// Call it about three times per TTL.
func (h *Holder) Step(ctx context.Context) error {
	if _, held := h.Held(); held {
		return h.renew(ctx)
	}
	return h.acquire(ctx)
}

// Release ends the lease, so that another process can acquire it at once.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	id := h.leaseID
	h.leaseID, h.token = 0, 0
	h.mu.Unlock()
	if id == 0 {
		return nil
	}
	return h.store.Revoke(ctx, id)
}

// EndEra gives up a lease of an era before the given one without a call to the service, which no
// longer has that lease.
func (h *Holder) EndEra(era int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.token != 0 && kv.Revision(h.token).Era() < era {
		h.leaseID, h.token = 0, 0
	}
}

func (h *Holder) renew(ctx context.Context) error {
	sent := h.clock.Now()
	h.mu.Lock()
	id := h.leaseID
	h.mu.Unlock()
	err := h.store.KeepAlive(ctx, id)
	if errors.Is(err, kv.ErrLeaseGone) {
		h.mu.Lock()
		h.leaseID, h.token = 0, 0
		h.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	h.extend(sent)
	return nil
}

// extend sets the expiry. It counts from the time the call was sent, since the service may have
// started the TTL at any time after that.
func (h *Holder) extend(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiry = sent.Add(h.opts.TTL - h.opts.TTL/clockDriftDivisor)
}

func (h *Holder) acquire(ctx context.Context) error {
	key := h.Key()
	e, err := h.store.Get(ctx, key)
	if err == nil {
		h.noteOther(e)
		return nil
	}
	if !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	sent := h.clock.Now()
	id, err := h.store.Grant(ctx, h.opts.TTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(Record{Holder: h.opts.Holder, Addr: h.opts.Addr})
	if err != nil {
		return err
	}
	rev, err := h.store.Put(ctx, kv.Write{Key: key, Value: value, Expect: kv.Absent, Lease: id})
	if errors.Is(err, kv.ErrConflict) {
		return h.store.Revoke(ctx, id)
	}
	if err != nil {
		// The write may have taken effect. Revoking the lease undoes it; if that fails too, the
		// lease expires after its TTL.
		return errors.Join(err, h.store.Revoke(ctx, id))
	}
	h.mu.Lock()
	h.leaseID, h.token = id, Token(rev)
	h.mu.Unlock()
	h.extend(sent)
	return nil
}

// noteOther records the holder of a lease that is not free. A record that cannot be decoded is
// ignored: only the holder's address remains unknown.
func (h *Holder) noteOther(e kv.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var r Record
	if json.Unmarshal(e.Value, &r) != nil {
		return
	}
	h.other = r
	h.seenOther = h.seenOther || r.Holder != h.opts.Holder
}
