// Package engine implements the client of a model engine that runs next to an agent. It reads the
// engine's status, sends it orders with a fencing token, and defines the headers of requests to it.
//
// The client keeps no state between calls. Memory is in MiB. After an error other than ErrFenced it is
// unknown whether the engine has received an order; the agent learns it from the engine's status (see
// package ledger). The engines of deployments that use package platform have a different protocol,
// which that package implements.
package engine
