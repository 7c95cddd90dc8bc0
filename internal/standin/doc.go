// Package standin provides in-memory fakes of the platform's services: the
// key-value service, the list of VMs, the weight store, a model engine and a
// plain service. Tests and `make run` use them. The daemons do not import them.
//
// Each fake is an http.Handler. Failures are injected by a Faults value, either
// through SetFaults or by a PUT to PathFault.
//
// The message types belong to the client packages kv, inventory and engine. A
// malformed number in a query parameter or header counts as zero, except that a
// delete with a malformed expected revision is refused with status 400.
package standin
