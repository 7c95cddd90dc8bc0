// Package table holds the operators' table: its rows, its checks, its versions
// and the record of it in the platform's key-value service.
//
// A Table is an immutable value with a version that only grows. Operators save
// an Edit through a Log, which decides the next version by one compare-and-swap;
// processes keep a Replica and take over rows by Delta from the Log or from
// each other. A Replica never goes back to a lower version.
package table
