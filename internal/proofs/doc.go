// Package proofs holds the tests that show what must always hold under failure:
// real daemons as separate processes, behind a proxy that injects faults, with
// the platform's stand-ins failing too. docs/PROOFS.md says what each shows.
//
// It has no code of its own outside its tests.
package proofs
