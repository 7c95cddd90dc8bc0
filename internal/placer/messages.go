package placer

import (
	"rockcleat/backend"
	"rockcleat/dispatch"
)

// A Report is a gateway's message to the leader.
type Report struct {
	// GatewayID names the gateway, Addr is where it takes messages, Hall its data hall.
	GatewayID string `json:"from"`
	Addr      string `json:"addr"`
	Hall      string `json:"hall"`
	// Loads is its load at each server.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Demands counts what was asked of it since its start, for the models and adapters for
	// which that has changed since the last report that had a reply.
	Demands map[string]dispatch.Demand `json:"demands,omitempty"`
	// Full says that Demands is all that was asked, for a leader that knows nothing yet.
	Full bool `json:"full,omitempty"`
	// GatewaysVersion is that of the list of gateways that it has, ResidencyVersion that
	// of the residency.
	GatewaysVersion  uint64 `json:"known,omitempty"`
	ResidencyVersion int64  `json:"residency"`
	// Samples are what it has seen of models' prefill speeds since its last report, SpeedsVersion is
	// the version of the speeds that it has.
	Samples       []dispatch.PrefillSample `json:"prefill,omitempty"`
	SpeedsVersion int64                    `json:"speeds,omitempty"`
}

// A Gateway is a gateway that reported lately.
type Gateway struct {
	dispatch.Gateway
	// Addr is where it takes messages.
	Addr string `json:"addr"`
}

// A Reply is the leader's reply to a report.
type Reply struct {
	// IsLeader says that the replying gateway leads; all else is empty otherwise.
	IsLeader bool `json:"held"`
	// Term is the leader's fencing token.
	Term int64 `json:"term,omitempty"`
	// Gateways lists those that reported lately, if GatewaysVersion, the list's version,
	// differs from the one reported.
	GatewaysVersion uint64    `json:"known,omitempty"`
	Gateways        []Gateway `json:"gateways,omitempty"`
	// Awaited is the number of listed gateways that were there before the leader's term and have not reported.
	Awaited int `json:"awaited,omitempty"`
	// Loads is the load of the other gateways at each server; BusiestOnly says that there
	// are so many servers that it lists the busiest only.
	Loads       map[string]dispatch.Load `json:"loads,omitempty"`
	BusiestOnly bool                     `json:"partial,omitempty"`
	// Residency lists the engines whose residency has changed since the version reported,
	// or, with Full, all of them; ResidencyVersion is the new version.
	ResidencyVersion int64                        `json:"version"`
	Full             bool                         `json:"full,omitempty"`
	Residency        map[string]backend.Residency `json:"residency,omitempty"`
	// Speeds are the prefill speeds in milliseconds a token that have changed since the version
	// reported; SpeedsVersion is the new version.
	SpeedsVersion int64              `json:"speeds,omitempty"`
	Speeds        map[string]float64 `json:"prefill,omitempty"`
}
