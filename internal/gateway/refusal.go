package gateway

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rockcleat/apikey"
)

// A refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when to come back; 0 says nothing of it.
	retryAfter time.Duration
	// closeConn ends the connection after the answer.
	closeConn bool
	// challenge says that the request needs a key.
	challenge bool
	// organisation is whose key the request came with; empty if that is not known.
	organisation string
}

// write sends the refusal. An error of the connection needs nothing done: the caller is gone.
func (f *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	if f.challenge {
		h.Set("WWW-Authenticate", apikey.Scheme)
	}
	if f.closeConn {
		h.Set("Connection", "close")
	}
	text := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, text)
}

// Times to come back. Under load capacity comes free with each request that ends, and a
// request that comes back waits here again and is served as soon as there is some, or as its
// model has been loaded: so soon is best for its caller.
const (
	// retrySoon is the least time to come back.
	retrySoon = 200 * time.Millisecond
	// retryUnready is the time to come back while there is no configuration: a gateway
	// reads it within half a second of its start.
	retryUnready = 500 * time.Millisecond
	// retryConfigured is the time to come back for a model that is not configured: a
	// configuration that another gateway knows already is in force here by then.
	retryConfigured = 2 * time.Second
	// shedShare is the part of its objective after which a request that was shed may
	// come back (docs/design/0010).
	shedShare = 0.2
)

// retryAfterLoad returns when a caller should come back whom no server could take, spread
// so that those refused together do not come back together.
func retryAfterLoad() time.Duration { return retrySoon + rand.N(2*retrySoon) }

// retryAfterShed returns when a request that was shed should come back, spread likewise.
func retryAfterShed(in *inbound) time.Duration {
	share := time.Duration(shedShare * float64(in.route.FirstByteObjective))
	return max(share, retrySoon) + rand.N(2*retrySoon)
}

// retryAfterLimit returns when a request should come back whose organisation is over its limit, by when it may
// be inside again: spread, since others of that organisation wait too.
func retryAfterLimit(wait time.Duration) time.Duration {
	wait = max(wait, retrySoon)
	return wait + rand.N(wait)
}

// notRun returns a refusal of a request that surely has not run.
func notRun(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason + "; not run", retryAfter: retryAfter}
}

// mayHaveRun returns the answer to a request that may have run and has no answer.
func mayHaveRun(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason}
}
