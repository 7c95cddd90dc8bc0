package wire

import "rockcleat/quarantine"

// PathQuarantine is the path at which operators list the requests under which servers have ended, and lift
// quarantines, on a gateway or an entry.
const PathQuarantine = "/v1/quarantine"

// A QuarantineList is the response to an operator who lists these requests.
type QuarantineList struct {
	Items []quarantine.Item `json:"items"`
}

// A QuarantineLift asks a gateway or an entry to discard the ends recorded for one request.
type QuarantineLift struct {
	Key quarantine.Key `json:"key"`
}

// A QuarantineLifted is the response; Known reports whether ends were recorded for the request.
type QuarantineLifted struct {
	Known bool `json:"known"`
}
