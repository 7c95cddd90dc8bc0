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

// keyPrefix is the prefix of lease records in the service.
const keyPrefix = "lease/"

// driftDivisor sets the part of the ttl, a fifth, by which a holder stops acting before the
// service ends its lease, for drift between the two clocks.
const driftDivisor = 5

// A Store is the part of the service that a Holder needs; kv.Store describes each call.
type Store interface {
	Get(ctx context.Context, key string) (kv.Entry, error)
	Put(ctx context.Context, w kv.Write) (kv.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) error
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// A Token is a fencing token: a later holder's token is always higher, also across eras of the service, for it is
// the revision of the lease's record.
type Token int64

// A Record is the value of a lease's key.
type Record struct {
	Holder string `json:"holder"`
	Addr   string `json:"addr"`
}

// Options configure a Holder.
type Options struct {
	// Name is the lease to contend for.
	Name string
	// Holder and Addr are written into the record for others to read.
	Holder string
	Addr   string
	// TTL is the time after which the service ends a lease that is not renewed.
	TTL time.Duration
	// Delay, if not nil, returns how long this process leaves a free lease to others, so that not
	// all of many contend at once.
	Delay func() time.Duration
}

// A Holder contends for one lease; it is safe for concurrent use.
type Holder struct {
	store Store
	clock clock.Service
	opts  Options

	mu      sync.Mutex
	leaseID kv.LeaseID
	token   Token
	expiry  time.Time
	other   Record
	// seenOther says that another holder's record has been seen.
	seenOther bool
}

// New returns a Holder that holds nothing until Step succeeds.
func New(store Store, c clock.Service, o Options) *Holder {
	return &Holder{store: store, clock: c, opts: o}
}

// Name returns the lease's name.
func (h *Holder) Name() string { return h.opts.Name }

// Key returns the key of the lease's record in the service.
func (h *Holder) Key() string { return keyPrefix + h.opts.Name }

// Held returns the fencing token and whether the lease is surely still held.
func (h *Holder) Held() (Token, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.token, h.token != 0 && h.clock.Now().Before(h.expiry)
}

// OtherHolder returns the record of the holder seen last while the lease was not free.
func (h *Holder) OtherHolder() Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.other
}

// HasSeenOther reports whether another holder's record was ever seen.
func (h *Holder) HasSeenOther() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seenOther
}

// Step renews the lease if it is held and tries to acquire it otherwise.
//
// It is to be called about three times per TTL. A lease held by another is no error.
func (h *Holder) Step(ctx context.Context) error {
	if _, held := h.Held(); held {
		return h.renew(ctx)
	}
	return h.acquire(ctx)
}

// Release gives the lease back, so that another can take it at once.
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

// EndEra gives up a lease of an earlier era of the service than the given one, without asking: the service has
// forgotten it.
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

// extend counts the ttl from when the call was sent, never from its answer.
func (h *Holder) extend(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiry = sent.Add(h.opts.TTL - h.opts.TTL/driftDivisor)
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
		// The write may have taken effect: ending the lease undoes it, and if
		// that fails too the ttl does.
		return errors.Join(err, h.store.Revoke(ctx, id))
	}
	h.mu.Lock()
	h.leaseID, h.token = id, Token(rev)
	h.mu.Unlock()
	h.extend(sent)
	return nil
}

// noteOther keeps the record of whoever holds the lease. One that cannot be decoded is
// left out: the lease is not free either way, only its holder's address stays unknown.
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
