// Package gateway implements the gateway process, which accepts callers' requests and forwards each directly to a
// backend server. Package dispatch chooses the server. Gateways report load and demand to a leader elected among
// them, and the leader (package placer) decides which models the engines load.
//
// A Gateway consists of parts that each own their state:
//
//   - conns: callers' connections and their timeouts;
//   - lifecycle: requests in progress, and shutdown;
//   - configuration (kept up to date by a configsync.Syncer) and serverList (kept up to date by a serverFollower and an
//     evacuationFollower): the gateway's view of the store;
//   - directory: the list of gateways, and this gateway's position in their distribution tree;
//   - reporter: reports to the leader, and the state exchanged with it;
//   - holderWatcher: polls of the leader while requests wait for models that no engine holds;
//   - feed: updates of the store view, read from the parent in the tree;
//   - proxy: request handling, with an inbound (the parsed request), a forwarder (the retry loop) and a record (the
//     result);
//   - quarantineRole: requests that repeatedly make servers crash (package quarantine), with a crashDetector, which
//     detects crashes of servers, and a quarantineStore, which persists the quarantine;
//   - serverLimits: rate limits that backend servers announce in their responses (package serverlimit) or have while they
//     warm up;
//   - fleetStore: the list of gateways that the leader keeps in the store;
//   - retryBudgets: the number of retries allowed;
//   - requestLog: log lines and metrics.
//
// While the store and the leader are unreachable, a gateway serves requests from its last view of the store. Only the
// quarantine and the list of gateways outlast the process; the leader writes both to the store. Header names and
// record formats are defined by the platform's adapter, through wire.HeaderNames and Decoder.
//
// Callers receive HTTP responses, never errors of this package. Log fields and message fields carry their unit in
// their name, as in waited_s and read_ms.
package gateway
