package wire

import "rockcleat/quota"

// PathLimits is where operators ask a gateway what it knows of the limits of organisations and backend servers.
const PathLimits = "/v1/limits"

// A LimitList is the answer.
type LimitList struct {
	Items []quota.Status `json:"items"`
	// Servers are the limits that backend servers have named, by server.
	Servers []quota.Status `json:"servers,omitempty"`
}
