package placer

import (
	"rockcleat/backend"
	"rockcleat/dispatch"
	"rockcleat/serverspeed"
	"rockcleat/servertime"
)

// A Report is a gateway's periodic message to the leader.
type Report struct {
	// GatewayID identifies the gateway, Addr is the address at which it accepts messages, and Hall is its
	// data hall.
	GatewayID string `json:"from"`
	Addr      string `json:"addr"`
	Hall      string `json:"hall"`
	// Cores is the processor that its VM has, in cores; 0 if it is not known.
	Cores float64 `json:"cores,omitempty"`
	// Loads is the gateway's load at each server.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Demands holds the counters since the gateway's start, by model or adapter. Those unchanged since the
	// last report that got a Reply are omitted.
	Demands map[string]dispatch.Demand `json:"demands,omitempty"`
	// Full is set when Demands omits nothing, for a leader without state.
	Full bool `json:"full,omitempty"`
	// GatewaysVersion and ResidencyVersion are the versions of the list of gateways and of the residency that
	// the gateway has.
	GatewaysVersion  uint64 `json:"known,omitempty"`
	ResidencyVersion int64  `json:"residency"`
	// Samples are the prefill speeds observed since the last report. SpeedsVersion is the version of the
	// prefill speeds that the gateway has.
	Samples       []dispatch.PrefillSample `json:"prefill,omitempty"`
	SpeedsVersion int64                    `json:"speeds,omitempty"`
	// StepSamples are the step times observed since the last report. StepsVersion is the version of the step times that
	// the gateway has.
	StepSamples  []servertime.StepSample `json:"step,omitempty"`
	StepsVersion int64                   `json:"steps,omitempty"`
	// Ended lists the IDs of registered servers that this gateway has found to have ended: connections to their
	// addresses are refused.
	Ended []string `json:"ended,omitempty"`
	// ExcessPercent is the percentage of the gateway's new connections that are more than it should take while others have
	// room.
	ExcessPercent int `json:"excess,omitempty"`
	// ServerSamples are observations of the speeds of servers. FactorsVersion is the version of the servers' factors
	// that the gateway has, NoFactors if it has none, and 0 if it does not use them.
	ServerSamples  []serverspeed.Sample `json:"servers,omitempty"`
	FactorsVersion int64                `json:"factors,omitempty"`
}

// NoFactors is a version of the servers' factors before that of any term.
const NoFactors = 1

// A Gateway is a gateway on the leader's list.
type Gateway struct {
	dispatch.Gateway
	// Addr is the address at which the gateway accepts messages.
	Addr string `json:"addr"`
}

// A Reply is the leader's reply to a Report.
type Reply struct {
	// IsLeader reports whether the replying gateway leads. If not, all other fields are empty.
	IsLeader bool `json:"held"`
	// Term is the leader's fencing token.
	Term int64 `json:"term,omitempty"`
	// GatewaysVersion is the version of the list of gateways. Gateways is the list; it is omitted if the
	// reported version is the same.
	GatewaysVersion uint64    `json:"known,omitempty"`
	Gateways        []Gateway `json:"gateways,omitempty"`
	// Awaited is the number of listed gateways that were known before the leader's term and have not reported
	// in it.
	Awaited int `json:"awaited,omitempty"`
	// ExcessPercent is the mean of Report.ExcessPercent over all other gateways.
	ExcessPercent int `json:"excess,omitempty"`
	// Loads is the load of the other gateways at each server. BusiestOnly reports whether the list is limited
	// to the busiest servers.
	Loads       map[string]dispatch.Load `json:"loads,omitempty"`
	BusiestOnly bool                     `json:"partial,omitempty"`
	// Residency holds the engines whose residency has changed since the reported version, or all engines if
	// Full is set. ResidencyVersion is the new version.
	ResidencyVersion int64                        `json:"version"`
	Full             bool                         `json:"full,omitempty"`
	Residency        map[string]backend.Residency `json:"residency,omitempty"`
	// Speeds holds the prefill speeds that have changed since the reported version, in milliseconds per token
	// by model. SpeedsVersion is the new version.
	SpeedsVersion int64              `json:"speeds,omitempty"`
	Speeds        map[string]float64 `json:"prefill,omitempty"`
	// StepTimes holds the base step times that have changed since the reported version, in milliseconds by model.
	// StepsVersion is the new version. Both are empty unless a service is planned in engine time.
	StepsVersion int64              `json:"steps,omitempty"`
	StepTimes    map[string]float64 `json:"step,omitempty"`
	// Factors holds the servers' factors that have changed since the reported version, or all that are not 1 if that
	// version was of another term. FactorsVersion is the new version; 0 if the leader does not learn them.
	FactorsVersion int64              `json:"factors,omitempty"`
	Factors        map[string]float64 `json:"servers,omitempty"`
}
