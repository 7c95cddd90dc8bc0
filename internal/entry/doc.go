// Package entry is the process behind the platform's balancer that callers and operators speak to,
// where requests go through an agent beside each backend server.
//
// An Entry joins parts that each own their state:
//
//   - proxy: callers' requests in progress, the load of each server as this entry knows it and the
//     retry budget; a call is one request, a delivery the loop that tries servers;
//   - claims: the shards of the records of requests that may not be repeated, and the way to the
//     entries that own the others;
//   - syncer: the spreading of the table and the servers' records between entries;
//   - operators: what operators read and save, and decisions, the latest of them;
//   - members: the platform's list of VMs;
//   - quarantine: the requests under which servers have ended, from the agents through the planners
//     and from other entries (package quarantine);
//   - package planner: the cells whose lease this entry holds.
//
// The table in force and the view of servers are shared by all parts and safe for that. Nothing of
// an Entry must last: the table, the claims and the leases are in the platform's key-value service.
// While that is away an Entry serves from its last table and view; claims of shards whose lease has
// lapsed are refused as not run.
//
// Callers get one of three outcomes: answered, not run or unknown (wire.Outcome). A request is sent
// again after it was surely not run, or if it may be repeated.
package entry
