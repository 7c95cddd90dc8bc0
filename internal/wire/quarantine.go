package wire

import "rockcleat/quarantine"

// PathQuarantine is the path at which operators list the requests with which servers have crashed, and lift
// quarantines, on a gateway or an entry.
const PathQuarantine = "/v1/quarantine"

// A QuarantineList is the response to a request for PathQuarantine.
type QuarantineList struct {
	Items []quarantine.Item `json:"items"`
}

// A LiftRequest asks a gateway or an entry to discard the crashes recorded for one request.
type LiftRequest struct {
	Key quarantine.Key `json:"key"`
}

// A LiftResponse is the response to a LiftRequest.
type LiftResponse struct {
	// Known reports whether crashes were recorded for the request.
	Known bool `json:"known"`
}
