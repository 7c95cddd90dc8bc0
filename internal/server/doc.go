// Package server runs the HTTP listeners of entries and agents: one for requests and one for control
// messages, health, readiness and metrics.
//
// A Listener owns its socket and its HTTP server; the handlers belong to the caller. A wire.TrafficCounter of
// the caller counts all bytes. A Guard bounds what the connections of one process hold together: headers, connections, and
// bodies that do not come. Gateways bound their callers' connections themselves (package gateway), by the same shares of the
// VM's memory (MaxConns, NewHeaderMemory). Entries and gateways share RegisterQuarantine and LogQuarantine.
package server
