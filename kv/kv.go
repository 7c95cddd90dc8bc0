package kv

import (
	"context"
	"errors"
	"time"
)

// Outcomes of a call to the service.
var (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrConflict says that the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrLeaseGone says that the lease has lapsed or was never granted; nothing was written.
	ErrLeaseGone = errors.New("kv: lease gone")
	// ErrRateLimited says that the service refused the call for its rate; nothing was written.
	ErrRateLimited = errors.New("kv: rate limited")
	// ErrUnavailable says that the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("kv: unavailable")
	// ErrUnknown says that no answer came: a write may or may not have taken effect.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// Expectations of a write beside a concrete revision.
const (
	// Absent expects that the key does not exist.
	Absent Revision = 0
	// Any expects nothing of the key.
	Any Revision = -1
)

// A LeaseID names a lease; the zero LeaseID is no lease.
type LeaseID int64

// An Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
}

// A Write is the argument of Store.Put.
type Write struct {
	Key    string   `json:"key"`
	Value  []byte   `json:"value"`
	Expect Revision `json:"expect"`
	// Lease, if not zero, makes the key vanish when that lease ends.
	Lease LeaseID `json:"lease,omitempty"`
}

// A Store is the platform's key-value service, as far as rockcleat needs it.
type Store interface {
	// Get returns the entry of a key or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, in the order of keys.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes a key if its revision is the expected one and returns the new revision.
	Put(ctx context.Context, w Write) (Revision, error)
	// Delete removes a key if its revision is the expected one.
	Delete(ctx context.Context, key string, expect Revision) error
	// Grant makes a lease that ends when it is not kept alive for ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive starts the lease's ttl anew or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until the key's revision exceeds after, or for at most wait, and
	// returns the key's entry, or ErrNotFound when it does not exist at the end.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
}

// IsNotWritten reports whether err says that a write surely took no effect.
func IsNotWritten(err error) bool {
	for _, e := range []error{ErrNotFound, ErrConflict, ErrLeaseGone, ErrRateLimited, ErrUnavailable} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
