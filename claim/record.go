package claim

import (
	"errors"

	"rockcleat/rendezvous"
)

// Outcomes of a claim besides its record.
var (
	// ErrNotOwner says that the process does not own the shard now.
	ErrNotOwner = errors.New("claim: not the owner of the shard")
	// ErrNotRecorded says that the claim was not recorded in time; the request must not be sent.
	ErrNotRecorded = errors.New("claim: not recorded")
)

// A State is the state of a claimed request.
type State string

// The states of a record.
const (
	// StateClaimed: the request may have been sent.
	StateClaimed State = "claimed"
	// StateDone: the request was answered.
	StateDone State = "done"
	// StateFree: the request was surely not run; the key may be claimed anew.
	StateFree State = "free"
)

// An Answer is the answer to a request, as a record keeps it.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	// Body is kept only if it is short; see MaxBody.
	Body []byte `json:"body,omitempty"`
	// Whole says that Body is the whole answer.
	Whole bool `json:"whole,omitempty"`
}

// MaxBody is the longest answer that a record keeps, in bytes: a slot of several records stays
// far below the 1 MB of a value.
const MaxBody = 1024

// A Record is the record of one key.
type Record struct {
	Key string `json:"key"`
	// Fingerprint shows whether a later request with the key is the same one.
	Fingerprint uint64 `json:"fp"`
	State       State  `json:"state"`
	// Attempt names the send that the record belongs to.
	Attempt string `json:"attempt"`
	// At is when the key was claimed, in Unix seconds.
	At     int64   `json:"at"`
	Answer *Answer `json:"answer,omitempty"`
}

// A batch is the value of one slot.
type batch struct {
	Owner   string   `json:"owner"`
	Records []Record `json:"records"`
}

// ShardOf returns the shard of a key.
func ShardOf(key string, shards int) int {
	return int(rendezvous.Key(key) % uint64(shards))
}
