// Package agent is the process beside one backend server.
//
// It alone issues orders to its server and keeps the
// server's memory ledger. It holds the queue in front of the server, so that
// the table's limits are enforced in one place per server, and it carries its
// load and its leaving on every answer. It decides nothing about placement: a
// cell's planner says what to load and unload.
package agent
