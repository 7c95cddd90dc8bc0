// Package agent implements the process that runs beside one backend server.
//
// An Agent is the only issuer of orders to load and unload models on its server, and it keeps the
// ledger of the server's memory. It queues the requests for the server, so that the table's limits
// are enforced in one place per server. In the header of each response it reports its load and
// whether it is leaving. It makes no placement decisions; the planner of its cell does (package
// planner).
//
// An Agent consists of these parts, each of which owns its state:
//
//   - workload: the queue, and the grants and demand of rows;
//   - serverState: the ledger, the slots, the engine's status and the record sent to the planner;
//   - membership: whether the agent is leaving;
//   - plannerContact: the planner that last contacted the agent, and the pauses of this process;
//   - record: the agent's record in the platform's key-value service;
//   - crashDetector: the crashes of the server during requests, which the planner receives with its
//     exchanges.
//
// A request needs a consistent view of the first four, so Agent.mu guards them together. The record
// has its own mutex (Agent.orderMu), and so has the crashDetector.
//
// An Agent needs the key-value service for its fencing token and its intents, which are stored under
// agent/ID. While the service is unavailable the agent continues to serve and issues no orders. If no
// planner contacts it, it serves with the table and the grants that it has.
package agent
