// Package placer holds the orders to engines: the gateway that has the lease
// collects what all gateways ask for, plans with package residency, gives the
// orders one engine at a time under the lease's fencing token, and tells the
// gateways what the engines hold.
package placer
