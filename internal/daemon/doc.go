// Package daemon makes processes out of the entry and the agent: it reads their
// settings, builds what they need and stops them in order on a signal.
package daemon
