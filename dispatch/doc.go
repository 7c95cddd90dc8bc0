// Package dispatch schedules the requests of a gateway: it chooses the backend server for each
// request, orders the requests that have to wait, and refuses those that cannot be served in time.
//
// Each engine has one owner among the gateways, which admits the requests of all gateways to it. If
// the owner does not respond, a gateway decides from the loads that it knows. A Dispatcher combines
// server selection (Candidate, Choose), admission to the engines that this gateway owns (Admit,
// AdmissionRequest), permits for servers with a rate limit (Permits), the pauses that servers ask this
// gateway for (Pause), the queue of waiting requests, load shedding by priority, a model of each
// engine's prefill work (PrefillSpeeds), an estimate of the prefixes that each engine has cached
// (PrefixBlock), and counters of the demand for each model (Demand).
//
// An engine is a backend server that runs models. A plain service has no models; requests to it
// wait only for the end of a pause.
//
// A Dispatcher owns the requests that this process has sent and not finished, and those that wait.
// The caller provides the loads of other processes (SetRemoteLoads), the servers and the models that
// they hold (SetServers), and the list of gateways (SetGateways). Between updates the Dispatcher
// works with the last values. The package depends on package clock for time and does no network I/O
// itself; Owners and Permits do it on its behalf. Package residency decides which models an engine
// holds, package gateway when a request is retried. Package route is the counterpart for entries,
// which send requests through agents that have their own queues.
//
// Estimated engine times are Milliseconds; all other times are time.Duration.
package dispatch
