// Package serverconn sends requests to backend servers over persistent connections.
//
// HTTP/1.1 matches responses to requests by their order on a connection alone, so that a surplus response is taken for the
// response to the next request. The package keeps such a mistake from spreading. It knows whether a request was written. A
// connection carries its next request only after the caller has accepted the response to the one before, and it carries no
// request twice, because the copies of a response to a repeated request cannot be told apart.
//
// It owns the connections that it opens, and relies on http.Transport to pool them. It decides nothing about responses.
package serverconn
