// Package responseconn makes connections of HTTP clients on which a broken response cannot look whole.
//
// net/http takes the end of a connection for the end of a response that has neither a length nor chunks. The kernel
// reports a reset once, to the call that comes first. If that is a write of the request's body, the next read returns the
// end of the connection without an error. A Conn returns an error there instead. It also checks the heads of responses,
// which net/http reads leniently.
//
// The package owns the state of the request and response on each Conn. It relies on Linux for the state of a TCP
// connection, and on httptrace to learn where a request begins and ends.
package responseconn
