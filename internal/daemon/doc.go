// Package daemon runs the gateway, the entry and the agent as processes. It reads flags and settings,
// constructs the dependencies, starts the process and shuts it down gracefully on a signal.
//
// It owns the signal handlers and the lifecycle of the process. Its functions return exit codes. Errors
// are written to the log or, before the log exists, to standard error.
package daemon
