// Package inventory holds the client of the platform's other services: the list of VMs and the
// catalogue of the weight store.
//
// It owns nothing between two calls: Changes returns what changed in the list after a version, and
// Sizes the memory that each model and adapter takes. It does not retry; callers ask again in their
// own time.
package inventory
