// Package wire defines the messages and headers that rockcleat's processes exchange, and sends,
// counts and authorizes them.
//
// Client sends messages between entries, agents and operators with their shared secret. Failure is a
// response that does not come from a backend server. Traffic counts bytes, with an allowance for TCP
// and IP headers. NewTransport and NewDirectTransport return the transports of all HTTP clients. Names
// are the headers of the users' platform, which package platform sets. Callers choose whom to call and
// how often, and interpret the responses.
//
// Calls return ErrNotSent if nothing was sent and a *StatusError for a response with a status other
// than 200. After any other error it is unknown whether the message arrived.
package wire
