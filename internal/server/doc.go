// Package server runs the listeners that entry and agent have: one for requests and one for
// control, with health, readiness and metrics.
//
// A Listener owns its socket and its HTTP server; the handlers belong to the caller. Every byte is
// counted by the caller's wire.Traffic. The gateway has listeners of its own, which bound what a
// connection may do (package gateway). RegisterQuarantine and LogQuarantine serve entry and gateway alike.
package server
