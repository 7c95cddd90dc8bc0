// Package inventory implements a client of two services of the platform: the list of VMs and the
// catalogue of the weight store.
//
// The client keeps no state between calls and does not retry. Each call ends with an error if the
// platform does not respond, or stops sending, for some seconds.
package inventory
