// Package standin provides stand-ins, which are in-memory fakes, for the platform's
// key-value service, its list of VMs and its weight store, and for two kinds of
// backend servers: a model engine and a plain service, which runs no models. Tests and
// `make run` use them. The daemons do not import them.
//
// Each stand-in is an http.Handler. Failures are injected by a Faults value, either
// through SetFaults or by a PUT to PathFault.
//
// The message types belong to the client packages kv, inventory and engine. A
// malformed number in a query parameter or header counts as zero, except that a
// delete with a malformed expected revision is refused with status 400.
package standin
