// Package wire holds the messages and headers that rockcleat's processes exchange, and the means
// to send, count and authorize them.
//
// It owns the form of what goes between processes: Client sends messages between entries, agents
// and operators with their shared secret, Failure is an answer that is not the backend server's
// own, and Traffic counts bytes with an allowance for TCP and IP. NewTransport and
// NewDirectTransport are the transports of all HTTP clients. Names are the headers of the users'
// platform, which package platform sets. The package decides nothing: who is called, how often
// and what an answer means is up to the caller.
//
// Errors are ErrNotSent if nothing left the process, a *StatusError for an answer other than
// 200, and otherwise leave open whether the message arrived.
package wire
