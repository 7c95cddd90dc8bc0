// Package server runs the listeners that both daemons have: one for requests
// and one for control, with health, readiness and metrics.
package server
