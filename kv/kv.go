package kv

import (
	"context"
	"errors"
	"time"
)

// Outcomes of a call to the service.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kv: key not found")
	// ErrConflict means that the key's revision was not the expected one; nothing was written.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrLeaseGone means that the lease has expired or was never granted; nothing was written.
	ErrLeaseGone = errors.New("kv: lease expired or not granted")
	// ErrRateLimited means that the service refused the call because of its rate; nothing was
	// written.
	ErrRateLimited = errors.New("kv: rate limited")
	// ErrUnavailable means that the service did not accept the call; nothing was written.
	ErrUnavailable = errors.New("kv: unavailable")
	// ErrUnknown means that no usable response arrived: a write may or may not have taken effect.
	ErrUnknown = errors.New("kv: outcome unknown")
)

// Values of Write.Expect other than the revision of an existing key.
const (
	// Absent expects that the key does not exist.
	Absent Revision = 0
	// Any matches every state of the key.
	Any Revision = -1
)

// A LeaseID identifies a lease; zero means no lease.
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
	// Lease, if not zero, is the lease whose end deletes the key.
	Lease LeaseID `json:"lease,omitempty"`
}

// A Store is the part of the platform's key-value service that rockcleat uses.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key has the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Put writes a key if its revision is the expected one, and returns the new revision.
	Put(ctx context.Context, w Write) (Revision, error)
	// Delete deletes a key if its revision is the expected one.
	Delete(ctx context.Context, key string, expect Revision) error
	// Grant creates a lease that expires unless it is kept alive within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the lease's ttl, or returns ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends the lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch waits until the key's revision exceeds after, for at most wait. It returns the key's
	// entry, or ErrNotFound if the key does not exist then.
	Watch(ctx context.Context, key string, after Revision, wait time.Duration) (Entry, error)
}

// IsNotWritten reports whether err guarantees that a write had no effect.
func IsNotWritten(err error) bool {
	for _, e := range []error{ErrNotFound, ErrConflict, ErrLeaseGone, ErrRateLimited, ErrUnavailable} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
