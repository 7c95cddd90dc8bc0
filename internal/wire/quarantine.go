package wire

import "rockcleat/quarantine"

// PathQuarantine is where a gateway or an entry shows operators the requests under which servers have ended, and
// lets them lift a quarantine.
const PathQuarantine = "/v1/quarantine"

// A QuarantineList is a gateway's answer to an operator who asks for these requests.
type QuarantineList struct {
	Items []quarantine.Item `json:"items"`
}

// A QuarantineLift asks a gateway to void the ends under one request.
type QuarantineLift struct {
	Key quarantine.Key `json:"key"`
}

// A QuarantineLifted is the answer: Known says that there were ends under the request.
type QuarantineLifted struct {
	Known bool `json:"known"`
}
