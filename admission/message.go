package admission

// An ID identifies an admission in the channel from one sender to one owner. IDs increase from 1.
type ID uint64

// An Entry is a request that was admitted to a server, or that was sent there without admission.
type Entry struct {
	ID     ID     `json:"i"`
	Server string `json:"s"`
	// Tokens is the cache memory that the request may use.
	Tokens int `json:"u,omitempty"`
	// TTLMs is the time in milliseconds until the request ends at the latest.
	TTLMs int `json:"t"`
}

// A Message tells an owner what has begun and ended at its servers.
type Message struct {
	Sender string `json:"g"`
	// Epoch is another one after each start of the sender, and not 0.
	Epoch int64 `json:"e"`
	// Replaces is the epoch of the process that the owner took for the sender's, if it was another one.
	Replaces int64 `json:"p,omitempty"`
	// All IDs below Floor have ended. IDs from Next on were not assigned when the message was made.
	Floor ID `json:"f"`
	Next  ID `json:"n"`
	// Full means that Began lists all running requests below Next, and Asked all admissions that were asked
	// for and not decided. All other IDs below Next have ended.
	Full  bool    `json:"a,omitempty"`
	Began []Entry `json:"b,omitempty"`
	Asked []ID    `json:"q,omitempty"`
	Ended []ID    `json:"x,omitempty"`

	// number counts the messages of a channel at its sender.
	number uint64
}

// An Ack is an owner's reply to a Message.
type Ack struct {
	// Epoch is another one after each start of the owner, and after the owner has dropped the channel.
	Epoch int64 `json:"e"`
	// Current, if not 0, is the epoch of the process that the owner takes for the sender's. The message was not
	// applied. A sender that is running names that epoch in its next message.
	Current int64 `json:"c,omitempty"`
	// Resync means that the owner does not know the channel's entries and needs a full message.
	Resync bool `json:"r,omitempty"`
}

// A Load is the work that an owner counts at a server.
type Load struct {
	// Running is the number of requests, Tokens the cache memory that they may use.
	Running, Tokens int
}
