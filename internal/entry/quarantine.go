package entry

import (
	"net/http"
	"time"

	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// quarantineExpireInterval is the interval at which expired quarantines are removed.
const quarantineExpireInterval = time.Second

// quarantineChanged logs the start or end of a request's quarantine.
func (e *Entry) quarantineChanged(c quarantine.Change) { server.LogQuarantine(e.log, c, e.clock.Now()) }

// digestOf returns the key that identifies copies of a request: its row, the client's credentials,
// the method, the target and the body.
func digestOf(r *http.Request, row string, body []byte) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Host: row, Target: r.URL.RequestURI(), Body: body,
	})
}

// quarantined returns the error response for a call in quarantine, and reports whether it is in one.
// Backend servers have crashed during copies of such a request, so no entry sends it until the
// quarantine ends.
func (fw *forwarder) quarantined() (wire.ErrorResponse, bool) {
	_, until, ok := fw.proxy.quarantine.Quarantine(quarantine.ContentTrait(fw.call.digest))
	return wire.ErrorResponse{
		Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer, Code: "quarantined",
		Message: "backend servers have ended under copies of this request; it was not run", RetryAfter: until.Sub(fw.proxy.clock.Now()),
	}, ok
}
