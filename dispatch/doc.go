// Package dispatch decides which backend server a gateway sends a request to, and which
// request waits, in which order, and which is refused instead.
//
// A Dispatcher joins one type a job: the choice of a server (Candidate, Choose), admission
// at the engines that this gateway owns (Admit, AdmissionRequest), the order of waiting
// requests (waitQueue), load shedding by priority (shedder), what an engine is expected to
// prefill and when (prefillQueue, PrefillSpeeds), which prefixes it has cached
// (prefixCache) and what was asked of each model (demandCounters).
//
// It owns what this process has sent and not finished, and who waits. What other processes
// have sent, which servers there are and what they hold comes from the caller (SetRemote,
// SetServers, SetGateways) and is as old as the caller's last word. It relies on package
// clock, knows no network and keeps serving from what it knows when nothing new comes. It
// does not decide what engines hold (package residency) or when a request is sent again
// (package gateway). Package route is the choice of the entry, which sends through agents
// that queue by themselves.
//
// Estimated engine times are Milliseconds; all other times are time.Duration.
package dispatch
