package wire

import (
	"rockcleat/claim"
	"rockcleat/fleet"
	"rockcleat/placement"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Paths of the interfaces between the system's own processes and for operators.
const (
	PathExchange    = "/rockcleat/v1/exchange"
	PathSync        = "/rockcleat/v1/sync"
	PathNudge       = "/rockcleat/v1/nudge"
	PathClaim       = "/rockcleat/v1/claim"
	PathClaimFinish = "/rockcleat/v1/claim/finish"
	PathTable       = "/rockcleat/v1/table"
	PathTableCheck  = "/rockcleat/v1/table/check"
	PathHistory     = "/rockcleat/v1/table/history"
	PathStatus      = "/rockcleat/v1/status"
	PathDecisions   = "/rockcleat/v1/decisions"
	PathHealth      = "/rockcleat/health"
	PathReady       = "/rockcleat/ready"
	PathMetrics     = "/rockcleat/metrics"
)

// A ConcurrencyGrant is the part of a row's concurrency that an agent may use.
type ConcurrencyGrant struct {
	Row string `json:"row"`
	Max int    `json:"max"`
}

// A Nudge asks a planner to exchange messages with a backend server's agent at
// once, because something has changed there that cannot wait.
type Nudge struct {
	Server string `json:"server"`
}

// An Exchange is what a cell's planner sends to one of the cell's agents.
type Exchange struct {
	// From is the planner's control address.
	From  string `json:"from"`
	Cell  string `json:"cell"`
	Token int64  `json:"token"`
	// Incarnation is the agent's incarnation that the planner knows, empty at first;
	// orders and grants are for that incarnation only.
	Incarnation string `json:"inc,omitempty"`
	// Seen is the agent's record version that the planner has.
	Seen uint64 `json:"seen,omitempty"`
	// TableVersion is the planner's; an agent with a newer table ignores the orders.
	TableVersion uint64       `json:"version"`
	Table        *table.Delta `json:"table,omitempty"`
	// Leaving is what the platform's list of VMs says of the server in version List.
	Leaving bool   `json:"leaving,omitempty"`
	List    uint64 `json:"list,omitempty"`
	// Lapsed tells that the planner's lease has lapsed: it has no orders, and the
	// grants stay as they are.
	Lapsed bool `json:"lapsed,omitempty"`
	// Pauses is the count of the agent's pauses that the planner knows.
	Pauses int                `json:"pauses,omitempty"`
	Orders []placement.Order  `json:"orders,omitempty"`
	Grants []ConcurrencyGrant `json:"grants,omitempty"`
	// Quarantine tells of requests under which backend servers have ended.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
}

// An ExchangeAnswer is the agent's answer to an Exchange.
type ExchangeAnswer struct {
	Incarnation string `json:"inc"`
	// Token is the highest planner's token that the agent knows; an Exchange with a
	// lower one had no effect.
	Token        int64  `json:"token"`
	TableVersion uint64 `json:"table"`
	RecordSeen   uint64 `json:"seen"`
	// Pauses counts how often the agent's process was paused.
	Pauses int `json:"pauses,omitempty"`
	// Server is the agent's record; absent if the planner has seen it.
	Server *fleet.Server      `json:"server,omitempty"`
	Grants []ConcurrencyGrant `json:"grants,omitempty"`
	// Quarantine is what is new for the planner of requests under which the server has ended.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
}

// A SyncRequest asks an entry for what the sender lacks.
type SyncRequest struct {
	From  string       `json:"from"`
	Table uint64       `json:"table"`
	Cells fleet.Digest `json:"cells,omitempty"`
	// TableOnly tells that the sender needs no servers' records.
	TableOnly bool `json:"table_only,omitempty"`
	// Quarantine tells of requests under which backend servers have ended.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
}

// A SyncAnswer is the answer to a SyncRequest.
type SyncAnswer struct {
	Table *table.Delta      `json:"table,omitempty"`
	Cells []fleet.CellDelta `json:"cells,omitempty"`
	// TableVersion is the answering process's own.
	TableVersion uint64 `json:"version"`
	// Quarantine is what is new for the sender of such requests.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
}

// A ClaimRequest asks a shard's owner for a claim or records its end.
type ClaimRequest struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fp"`
	Attempt     string `json:"attempt"`
	// Free tells, on the finish path, that the attempt surely did not run.
	Free   bool          `json:"free,omitempty"`
	Answer *claim.Answer `json:"answer,omitempty"`
}

// A ClaimAnswer is the owner's answer to a claim.
type ClaimAnswer struct {
	Fresh  bool         `json:"fresh"`
	Record claim.Record `json:"record"`
}

// A SaveRequest asks an entry to save an edit.
type SaveRequest struct {
	Edit table.Edit `json:"edit"`
}

// A SaveAnswer tells the version that holds the edit, or why none does.
type SaveAnswer struct {
	Version uint64             `json:"version,omitempty"`
	Errors  []table.CheckError `json:"errors,omitempty"`
	Message string             `json:"message,omitempty"`
}

// A TableAnswer is the whole table of one version.
type TableAnswer struct {
	Version uint64      `json:"version"`
	Rows    []table.Row `json:"rows"`
}

// A HistoryAnswer lists the latest edits.
type HistoryAnswer struct {
	Edits []table.Edit `json:"edits"`
}

// A VMStatus is what an entry knows of one VM.
type VMStatus struct {
	ID           string `json:"id"`
	Role         string `json:"role"`
	Hall         string `json:"hall"`
	Addr         string `json:"addr"`
	State        string `json:"state"`
	TableVersion uint64 `json:"table_version"`
	Waiting      int    `json:"waiting"`
	Running      int    `json:"running"`
}

// A VersionAnswer is the part of any process's status that an entry asks for.
type VersionAnswer struct {
	TableVersion uint64 `json:"table_version"`
	Waiting      int    `json:"waiting"`
	Running      int    `json:"running"`
	ControlBytes int64  `json:"control_bytes"`
}

// A StatusAnswer is an entry's view of the whole system.
type StatusAnswer struct {
	Entry        string         `json:"entry"`
	TableVersion uint64         `json:"table_version"`
	Cells        []string       `json:"cells_planned_here"`
	VMs          []VMStatus     `json:"vms,omitempty"`
	Servers      []fleet.Server `json:"servers,omitempty"`
	Waiting      int            `json:"requests_in_progress"`
	// ControlBytes is what control has sent and received so far, headers included.
	ControlBytes int64 `json:"control_bytes"`
}

// A Decision is one decision with its reason, for operators to ask for.
type Decision struct {
	Time   int64  `json:"time_ms"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Server string `json:"server,omitempty"`
	Reason string `json:"reason"`
}

// A DecisionsAnswer lists an entry's latest decisions.
type DecisionsAnswer struct {
	Entry     string     `json:"entry"`
	Decisions []Decision `json:"decisions"`
}
