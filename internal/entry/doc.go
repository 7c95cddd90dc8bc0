// Package entry implements the process that serves clients and operators, behind the platform's
// load balancer. It forwards clients' requests to the agents of backend servers.
//
// An Entry consists of these parts, each of which owns its state:
//
//   - proxy: the client requests in progress, the load of each server as known to this entry, and
//     the retry budget. A call is one request, a forwarder the loop that tries servers for it;
//   - claims: the claim records of requests with an Idempotency-Key, in the shards that this entry
//     owns, and the calls to the entries that own the other shards;
//   - syncer: the replication of the table and the servers' records between entries;
//   - operatorAPI: the API for operators, and decisions, the latest of the entry's decisions;
//   - members: the platform's list of VMs;
//   - quarantine: the requests during which servers have crashed, as reported by agents through the
//     planners and by other entries (package quarantine);
//   - planner: the cells whose lease this entry holds (package planner).
//
// All parts share the table in force and the view of the servers, both of which are safe for
// concurrent use. An Entry keeps no durable state: the table, the claim records and the leases are in
// the platform's key-value service. While that service is unavailable an Entry continues to serve
// with its last table and view. It refuses requests that need a claim in a shard whose lease has
// expired; these are not run.
//
// Each response has one of three outcomes: answered, not run or unknown (wire.Outcome). A request is
// sent again if it certainly did not run, or if it may be repeated.
package entry
