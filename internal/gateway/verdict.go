package gateway

import (
	"net/http"
	"regexp"
	"slices"

	"rockcleat/internal/serverconn"
	"rockcleat/internal/wire"
)

// A verdict says what is known of a send from what was written to the server and from its response.
type verdict int

const (
	// verdictNotSent: nothing of the request was written.
	verdictNotSent verdict = iota
	// verdictLost: the request was written, at least in part, and there is no response. It may have run.
	verdictLost
	// verdictForeign: the response is not surely that of the request, which may therefore run.
	verdictForeign
	// verdictRefused: the server has not run the request and will not.
	verdictRefused
	// verdictRan: the request may have run.
	verdictRan
)

// verdictOf returns the verdict on a send. It depends only on what was written and what came back. The end of a send by the
// caller, a deadline or this gateway does not end the run at the server.
func verdictOf(names wire.HeaderNames, id string, x *serverconn.Exchange, resp *http.Response) verdict {
	switch {
	case resp != nil:
		return verdictOfResponse(names, id, resp)
	case x.NotSent():
		return verdictNotSent
	}
	return verdictLost
}

// verdictOfResponse returns the verdict on a response to the request with the given ID. Whose response it is goes before
// what it says: connections carry surplus responses to earlier requests.
func verdictOfResponse(names wire.HeaderNames, id string, resp *http.Response) verdict {
	if ids := resp.Header.Values(names.RequestID); len(ids) != 1 || ids[0] != id {
		return verdictForeign
	}
	if containsStatusLine(resp) {
		return verdictForeign
	}
	marked := resp.Header.Get(names.NotRun) != "" && resp.StatusCode >= http.StatusBadRequest
	if marked || resp.StatusCode == http.StatusMisdirectedRequest {
		return verdictRefused
	}
	return verdictRan
}

// statusLine matches the beginning of a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// containsStatusLine reports whether the status or a field of a response contains the status line of another one. The first
// response was cut there, so the fields behind that place, such as the request's ID, are those of the second.
func containsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// isPromise reports whether a status tells callers that the request has not run and will not.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
