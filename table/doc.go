// Package table implements the versioned configuration table in which operators list the
// models, adapters and services to serve. It validates the table's rows and stores the
// table in the platform's key-value service.
//
// A Table is an immutable value with a version that only increases. Operators save an Edit
// through a Log, which commits the next version with one compare-and-swap. Each process
// keeps a Replica and applies Deltas from the Log or from other processes. A Replica never
// returns to a lower version. The package also defines Routing, one version of the routes,
// services and limits of a deployment that uses package platform.
//
// The package owns the keys table/head and table/snapshot/ of the key-value service and
// relies on the service's compare-and-swap and on package clock. While the service is
// unavailable nothing can be saved, and every process keeps the table that it has.
// Scheduling and placement are left to packages fairqueue, placement and residency, which
// read the table.
//
// An error of a save matches ErrRowConflict, ErrInvalid or ErrSaveUnknown with errors.Is, or is
// an error of package kv.
// Durations are time.Duration; Edit.Time is in Unix seconds.
package table
