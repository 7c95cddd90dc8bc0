// Package bodybuffer reads the bodies of requests into memory that all of them share.
//
// A Memory is bounded by a share of the VM's memory. Each request has a Reservation of it, which is charged with what is
// allocated before it is. All sizes are in bytes. The package owns no connection: deadlines and limits on single bodies are
// its callers'.
package bodybuffer
