// Package engine is the client side of a model engine beside an agent: its status, the fenced orders
// that it takes, and the headers that go with a request.
//
// It owns nothing between two calls. Memory is in MiB. An error other than ErrFenced leaves open
// whether an order arrived; the agent finds out from the status (package ledger). The engines of
// the users' platform speak otherwise, and package platform is their client.
package engine
