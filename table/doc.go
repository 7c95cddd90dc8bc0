// Package table holds the operators' table: its rows, its checks, its versions and the
// record of it in the platform's key-value service.
//
// A Table is an immutable value with a version that only grows. Operators save an Edit
// through a Log, which decides the next version by one compare-and-swap; processes keep a
// Replica and apply Deltas from the Log or from each other. A Replica never goes back to a
// lower version. The package also holds the Routing of the users' platform, one version of
// the operators' routes, services and limits there.
//
// It owns the keys table/head and table/snapshot/ of the service and relies on the
// service's compare-and-swap and on package clock. While the service is away nothing can
// be saved, and every process keeps the table that it has. It does not decide who runs,
// or where: packages fairqueue, placement and residency follow the table.
//
// Outcomes of a save are ErrRowConflict, ErrInvalid and ErrSaveUnknown, by errors.Is.
// Times are time.Duration; Edit.Time is in Unix seconds.
package table
