package placer

import (
	"rockcleat/backend"
	"rockcleat/dispatch"
)

// A Report is what one gateway tells the holder of orders.
type Report struct {
	// From names the gateway, Addr is where it takes messages.
	GatewayID string `json:"from"`
	Addr      string `json:"addr"`
	// Hall is the gateway's data hall.
	Hall string `json:"hall"`
	// Loads is what it has at each server.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Demands is what was asked of it since its start, for the models and adapters
	// for which that has changed since the last report that was answered.
	Demands map[string]dispatch.Demand `json:"demands,omitempty"`
	// Full tells that Demands is all that was asked, for a holder that knows nothing yet.
	Full bool `json:"full,omitempty"`
	// Known is the version of the list of gateways that it has.
	GatewaysVersion uint64 `json:"known,omitempty"`
	// Residency is the version of the residency that it knows.
	ResidencyVersion int64 `json:"residency"`
}

// A Gateway is a gateway that reported lately.
type Gateway struct {
	dispatch.Gateway
	// Addr is where it takes messages.
	Addr string `json:"addr"`
}

// An Answer is what the holder of orders tells a gateway.
type Reply struct {
	// Held tells that the answerer holds the orders; all else is empty otherwise.
	IsLeader bool `json:"held"`
	// Term is the holder's fencing token.
	Term int64 `json:"term,omitempty"`
	// Known and Gateways are the version and the list of the gateways that reported
	// lately; the list only if its version differs from the one reported.
	GatewaysVersion uint64    `json:"known,omitempty"`
	Gateways        []Gateway `json:"gateways,omitempty"`
	// Loads is what the other gateways have at each server.
	Loads map[string]dispatch.Load `json:"loads,omitempty"`
	// Partial tells that there are so many servers that Loads holds the busiest only.
	BusiestOnly bool `json:"partial,omitempty"`
	// Version is that of what engines hold; Residency is what has changed of it since
	// the version reported, or all of it with Full.
	ResidencyVersion int64                        `json:"version"`
	Full             bool                         `json:"full,omitempty"`
	Residency        map[string]backend.Residency `json:"residency,omitempty"`
}
