package wire

import "rockcleat/quota"

// PathLimits is the path at which operators query a gateway's view of the limits of organisations and backend servers.
const PathLimits = "/v1/limits"

// A LimitList is the response to a request for PathLimits.
type LimitList struct {
	Items []quota.Status `json:"items"`
	// Servers are the limits that backend servers have announced, by server.
	Servers []quota.Status `json:"servers,omitempty"`
}
