// Package engine is the client side of a model engine: its status, the fenced
// orders that it takes, and the headers that go with a request.
package engine
