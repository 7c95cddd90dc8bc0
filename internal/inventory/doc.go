// Package inventory holds the clients of the platform's other services: the
// list of VMs and the catalogue of the weight store.
package inventory
