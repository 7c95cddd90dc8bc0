// Package backend holds what a process knows about the backend servers that it calls directly:
// their addresses, the models that their engines hold, and whether they are leaving. It also
// declares the reports and orders of engines (EngineClient).
//
// A Registry owns that state and publishes it as immutable Snapshots. It has two sources: the
// platform's list of servers, and the residency that the leader publishes, which is more current
// than the list for the models that engines hold. The package relies on the caller to pass on both,
// with the current time, and to call Expire. If the leader publishes nothing for residencyMaxAge,
// the residents in the list are used again. If the list is unavailable, its last state is kept.
package backend
