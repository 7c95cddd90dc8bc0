// Package agent is the process beside one backend server.
//
// It alone issues orders to its server and keeps the server's memory ledger. It holds the
// queue in front of the server, so that the table's limits are enforced in one place per
// server, and it puts its load and its leaving on every answer. It decides nothing about
// placement: a cell's planner says what to load and unload.
//
// An Agent joins parts, each with its state: workload (the queue, what rows are granted and
// ask for), serverState (the ledger, the slots, the engine's reports and the record that the
// planner gets), membership (whether it is leaving) and contact (the planner that spoke last,
// and pauses of this process). The agent's mutex guards all four, since a request looks at all
// of them at once; the record in the platform's service has a mutex of its own (ordering), and so have the
// ends of the server under requests (serverEnds), which the planner fetches.
//
// It relies on the platform's service for its fencing token and its intents: without it the
// agent serves on and issues no order. Without a planner it serves with the table and grants
// that it has. What must last, its intents, stands in the service under agent/ID.
package agent
