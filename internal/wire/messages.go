package wire

import (
	"rockcleat/claim"
	"rockcleat/fleet"
	"rockcleat/placement"
	"rockcleat/quarantine"
	"rockcleat/table"
)

// Paths of the interfaces between processes and for operators.
const (
	PathExchange        = "/rockcleat/v1/exchange"
	PathSync            = "/rockcleat/v1/sync"
	PathExchangeTrigger = "/rockcleat/v1/nudge"
	PathClaim           = "/rockcleat/v1/claim"
	PathClaimFinish     = "/rockcleat/v1/claim/finish"
	PathTable           = "/rockcleat/v1/table"
	PathTableCheck      = "/rockcleat/v1/table/check"
	PathHistory         = "/rockcleat/v1/table/history"
	PathStatus          = "/rockcleat/v1/status"
	PathDecisions       = "/rockcleat/v1/decisions"
	PathHealth          = "/rockcleat/health"
	PathReady           = "/rockcleat/ready"
	PathMetrics         = "/rockcleat/metrics"
)

// A ConcurrencyGrant is the share of a row's concurrency that an agent may use.
type ConcurrencyGrant struct {
	Row string `json:"row"`
	Max int    `json:"max"`
}

// An ExchangeTrigger asks a planner to exchange messages with a backend server's agent without waiting for the
// next regular exchange, because of an urgent change there.
type ExchangeTrigger struct {
	Server string `json:"server"`
}

// An Exchange is the message of a cell's planner to one of the cell's agents.
type Exchange struct {
	// From is the planner's control address. Token is the fencing token of its lease.
	From  string `json:"from"`
	Cell  string `json:"cell"`
	Token int64  `json:"token"`
	// Incarnation is the agent's incarnation known to the planner, empty at first. Orders and
	// grants apply to that incarnation only.
	Incarnation string `json:"inc,omitempty"`
	// Seen is the version of the agent's record that the planner has.
	Seen uint64 `json:"seen,omitempty"`
	// TableVersion is the planner's table version; an agent with a newer table ignores the orders.
	TableVersion uint64       `json:"version"`
	Table        *table.Delta `json:"table,omitempty"`
	// Leaving reports whether the platform's list of VMs, in its version List, marks the server as leaving.
	Leaving bool   `json:"leaving,omitempty"`
	List    uint64 `json:"list,omitempty"`
	// LeaseExpired reports whether the planner's lease has expired. If it has, the message contains no orders,
	// and the agent keeps its grants.
	LeaseExpired bool `json:"lapsed,omitempty"`
	// Pauses is the number of the agent's pauses known to the planner.
	Pauses int                `json:"pauses,omitempty"`
	Orders []placement.Order  `json:"orders,omitempty"`
	Grants []ConcurrencyGrant `json:"grants,omitempty"`
	// Quarantine lists requests with which backend servers have crashed.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
}

// An ExchangeResponse is the agent's response to an Exchange.
type ExchangeResponse struct {
	Incarnation string `json:"inc"`
	// Token is the highest token of a planner that the agent has seen. An Exchange with a lower one
	// had no effect.
	Token        int64  `json:"token"`
	TableVersion uint64 `json:"table"`
	RecordSeen   uint64 `json:"seen"`
	// Pauses is the number of times that the agent's process was paused.
	Pauses int `json:"pauses,omitempty"`
	// Server is the agent's record; nil if the planner already has it.
	Server *fleet.Server      `json:"server,omitempty"`
	Grants []ConcurrencyGrant `json:"grants,omitempty"`
	// Quarantine lists requests with which the server has crashed and that are new to the planner.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
}

// A SyncRequest asks an entry for the state that the sender lacks.
type SyncRequest struct {
	From  string       `json:"from"`
	Table uint64       `json:"table"`
	Cells fleet.Digest `json:"cells,omitempty"`
	// TableOnly excludes the servers' records from the response.
	TableOnly bool `json:"table_only,omitempty"`
	// Quarantine lists requests with which backend servers have crashed.
	Quarantine quarantine.Message `json:"quarantine,omitzero"`
}

// A SyncResponse is the response to a SyncRequest.
type SyncResponse struct {
	Table *table.Delta      `json:"table,omitempty"`
	Cells []fleet.CellDelta `json:"cells,omitempty"`
	// TableVersion is the responding process's table version.
	TableVersion uint64 `json:"version"`
	// Quarantine lists requests with which servers have crashed and that are new to the sender of the
	// SyncRequest.
	Quarantine *quarantine.Reply `json:"quarantine,omitempty"`
}

// A ClaimRequest asks a shard's owner for a claim, or records that the claimed request has finished.
type ClaimRequest struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"fp"`
	Attempt     string `json:"attempt"`
	// NotRun is set if the attempt did not run; it is used only with PathClaimFinish.
	NotRun bool            `json:"free,omitempty"`
	Answer *claim.Response `json:"answer,omitempty"`
}

// A ClaimResponse is the shard owner's response to a claim.
type ClaimResponse struct {
	Fresh  bool         `json:"fresh"`
	Record claim.Record `json:"record"`
}

// A SaveRequest asks an entry to save an edit of the table.
type SaveRequest struct {
	Edit table.Edit `json:"edit"`
}

// A SaveResponse contains the version that includes the edit, or the reason why it was not saved.
type SaveResponse struct {
	Version uint64             `json:"version,omitempty"`
	Errors  []table.CheckError `json:"errors,omitempty"`
	Message string             `json:"message,omitempty"`
}

// A TableResponse contains all rows of one table version.
type TableResponse struct {
	Version uint64      `json:"version"`
	Rows    []table.Row `json:"rows"`
}

// A HistoryResponse lists the latest edits.
type HistoryResponse struct {
	Edits []table.Edit `json:"edits"`
}

// A VMStatus is an entry's view of one VM.
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

// A VersionResponse is the part of a process's status that entries request from it.
type VersionResponse struct {
	TableVersion uint64 `json:"table_version"`
	Waiting      int    `json:"waiting"`
	Running      int    `json:"running"`
	ControlBytes int64  `json:"control_bytes"`
}

// A StatusResponse is an entry's view of the whole system.
type StatusResponse struct {
	Entry        string         `json:"entry"`
	TableVersion uint64         `json:"table_version"`
	Cells        []string       `json:"cells_planned_here"`
	VMs          []VMStatus     `json:"vms,omitempty"`
	Servers      []fleet.Server `json:"servers,omitempty"`
	InProgress   int            `json:"requests_in_progress"`
	// ControlBytes is the number of bytes that the control connections have carried, headers included.
	ControlBytes int64 `json:"control_bytes"`
}

// A Decision is one decision of an entry with its reason, for operators.
type Decision struct {
	Time   int64  `json:"time_ms"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Server string `json:"server,omitempty"`
	Reason string `json:"reason"`
}

// A DecisionsResponse lists an entry's latest decisions.
type DecisionsResponse struct {
	Entry     string     `json:"entry"`
	Decisions []Decision `json:"decisions"`
}
