package wire

import "rockcleat/quota"

// PathLimits is where operators ask a gateway what it knows of the limits of organisations.
const PathLimits = "/v1/limits"

// A LimitList is the answer.
type LimitList struct {
	Items []quota.Status `json:"items"`
}
