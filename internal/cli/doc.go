// Package cli implements the operators' command line.
//
// Commands on the table and on the state of the system call the control address of an entry;
// limits and quarantine commands can call gateways. The commands trace and summary read
// collected log files, and config check reads a settings file.
//
// A save without a response is retried, at the next entry if there are several, with the same
// edit id, so that it takes effect at most once.
//
// The package keeps no state between runs. Entries validate edits and assign table versions,
// with package table. Errors are mapped to the exit codes.
package cli
