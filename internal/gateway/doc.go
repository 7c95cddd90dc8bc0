// Package gateway is the entry process in front of backend servers that speak to
// it directly: it takes callers' requests, chooses a server for each, passes
// answers and streams on, and shares what it has sent with the other gateways.
//
// Names of headers come from the platform's adapter; where things are told from
// comes through small interfaces. Placement is given by the holder of orders, one
// gateway at a time (package placer).
package gateway
