// Package lab starts a whole system on loopback, as separate processes with
// stand-ins for the platform, for trying it out, for tests and measurements.
//
// The daemons never import it; it is the only part that starts processes.
package lab
