// Package server runs the HTTP listeners of entries and agents: one for requests and one for control
// messages, health, readiness and metrics.
//
// A Listener owns its socket and its HTTP server; the handlers belong to the caller. A wire.Traffic of
// the caller counts all bytes. Gateways have listeners of their own, which bound what a connection may
// do (package gateway). Entries and gateways share RegisterQuarantine and LogQuarantine.
package server
