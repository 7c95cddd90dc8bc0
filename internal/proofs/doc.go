// Package proofs contains fault-injection tests of the system's numbered promises,
// which docs/PROOFS.md lists.
//
// Each test runs real daemons as separate processes through package lab. It sends
// load, injects faults into processes, network connections and the platform's
// stand-ins, and checks that the promise was kept. The flag -proofs.seed selects the
// faults and their order; -proofs.report prints one line for each promise.
//
// The package has no code outside its tests.
package proofs
