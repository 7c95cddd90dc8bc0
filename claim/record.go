package claim

import (
	"errors"

	"rockcleat/rendezvous"
)

// Errors of a claim.
var (
	// ErrNotOwner means that the process does not own the shard.
	ErrNotOwner = errors.New("claim: not the owner of the shard")
	// ErrNotRecorded means that the claim was not recorded in time. The request must not be sent.
	ErrNotRecorded = errors.New("claim: not recorded")
)

// A State is the state of a claimed request.
type State string

// States of a record.
const (
	// StateClaimed means that the request may have been sent.
	StateClaimed State = "claimed"
	// StateDone means that the request was answered.
	StateDone State = "done"
	// StateFree means that the request has not run. The key may be claimed again.
	StateFree State = "free"
)

// An Answer is the stored response to a request.
type Answer struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"type,omitempty"`
	// Body is empty if the response is longer than MaxBody.
	Body []byte `json:"body,omitempty"`
	// Whole reports whether Body is the complete response.
	Whole bool `json:"whole,omitempty"`
}

// MaxBody is the maximum size of a stored response body, in bytes. It keeps a slot of several
// records well below the maximum size of a value, 1 MB.
const MaxBody = 1024

// A Record is the state of one idempotency key.
type Record struct {
	Key string `json:"key"`
	// Fingerprint identifies the request's content, so that the use of one key for different
	// requests is detected.
	Fingerprint uint64 `json:"fp"`
	State       State  `json:"state"`
	// Attempt identifies the attempt to send the request that made the claim.
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

// ShardOf returns the index of the shard that a key belongs to.
func ShardOf(key string, shards int) int {
	return int(rendezvous.Key(key) % uint64(shards))
}
