// Package daemon makes processes out of the gateway, the entry and the agent: it reads the flags
// and the settings, builds what the process needs, starts it and stops it in order on a signal.
//
// It owns nothing beyond the run of a process and decides nothing. The exit code says what went
// wrong, and the log or, before there is one, the error output says why.
package daemon
