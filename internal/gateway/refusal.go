package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rockcleat/apikey"
	"rockcleat/internal/bodybuffer"
)

// A refusal is a response that the gateway makes itself, without a server.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header; 0 omits the header.
	retryAfter time.Duration
	// closeConn reports whether the connection is closed after the response.
	closeConn bool
	// challenge reports whether the response has a WWW-Authenticate header.
	challenge bool
	// organisation owns the key that the request came with; empty if it is not known.
	organisation string
}

// write sends the refusal. Write errors are ignored, since they mean that the caller has disconnected.
func (r *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if r.challenge {
		h.Set("WWW-Authenticate", apikey.Scheme)
	}
	if r.closeConn {
		h.Set("Connection", "close")
	}
	text := r.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, text)
}

// leaveBody prepares the refusal of a request whose body has not been read, and returns it. On a connection that stays open,
// net/http reads the rest of a body before it sends the response. For a short body, which mostly comes with the header, that
// costs less than another connection.
func (r *refusal) leaveBody(request *http.Request) *refusal {
	r.closeConn = r.closeConn || request.ContentLength < 0 || request.ContentLength > bodybuffer.MaxPreallocated
	return r
}

// discardTimeout bounds how long net/http reads the rest of a refused request's body, before the response on a connection that
// stays open and after it on one that is closed.
const discardTimeout = 500 * time.Millisecond

// Values of Retry-After. Under load they are short: capacity becomes free with each finished request, and a request
// that is sent again waits in the gateway for a server.
const (
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterUnready is the Retry-After while the gateway has no configuration, which it normally gets within half a
	// second of its start.
	retryAfterUnready = 500 * time.Millisecond
	// retryAfterUnknownModel is the Retry-After for a model that is not configured. By then, a configuration that another
	// gateway already has is in force here.
	retryAfterUnknownModel = 2 * time.Second
	// minReplacementTime is the shortest Retry-After while all servers of a service are leaving. Their successors have to
	// start first.
	minReplacementTime = time.Second
	// shedFraction is the fraction of the first-byte objective after which a shed request may be sent again
	// (docs/design/0010).
	shedFraction = 0.2
)

// retryAfterLoad returns the Retry-After for a request that no server could take. It is randomised, so that
// requests refused together are not retried together.
func retryAfterLoad() time.Duration { return minRetryAfter + rand.N(2*minRetryAfter) }

// retryAfterReplacement returns the randomised Retry-After for a request to a service whose servers are all leaving.
func retryAfterReplacement() time.Duration { return minReplacementTime + rand.N(minReplacementTime) }

// retryAfterShed returns the randomised Retry-After for a request that was shed.
func retryAfterShed(in *inbound) time.Duration {
	wait := time.Duration(shedFraction * float64(in.route.FirstByteObjective))
	return max(wait, minRetryAfter) + rand.N(2*minRetryAfter)
}

// retryAfterLimit returns the randomised Retry-After for a request over a rate limit that allows the next request after
// wait.
func retryAfterLimit(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + rand.N(wait)
}

// retryAfterBusy returns the randomised Retry-After for a request that would have waited for the given time.
func retryAfterBusy(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + rand.N(wait/2)
}

// retryAfterPause returns the randomised Retry-After for a request whose servers accept no requests for the given time.
func retryAfterPause(wait time.Duration) time.Duration {
	return max(wait, minRetryAfter) + rand.N(2*minRetryAfter)
}

// notRun returns the refusal of a request that has certainly not run.
func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason + "; not run", retryAfter: retryAfter}
}

// mayHaveRun returns the refusal of a request that may have run but has no response.
func mayHaveRun(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}
