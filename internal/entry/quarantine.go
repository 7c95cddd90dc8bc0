package entry

import (
	"net/http"
	"time"

	"rockcleat/internal/server"
	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// quarantineSweep is the time between two looks for quarantines that are over.
const quarantineSweep = time.Second

// quarantineChanged logs the begin or the end of a request's quarantine.
func (e *Entry) quarantineChanged(c quarantine.Change) { server.LogQuarantine(e.log, c, e.clock.Now()) }

// digestOf returns what copies of a request have in common: its row, its caller's credentials, and what it
// asks for.
func digestOf(r *http.Request, row string, body []byte) quarantine.Key {
	return quarantine.KeyOf(quarantine.Request{
		Caller: r.Header.Get("Authorization"), Method: r.Method, Host: row, Target: r.URL.RequestURI(), Body: body,
	})
}

// quarantined returns the refusal of a call that is in quarantine: servers have ended under copies of it,
// and no entry sends it until that is over.
func (d *delivery) quarantined() (wire.Failure, bool) {
	until, held := d.proxy.quarantine.Until(d.x.digest)
	return wire.Failure{
		Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer, Code: "quarantined",
		Message: "backend servers have ended under copies of this request; it was not run", RetryAfter: until.Sub(d.proxy.clock.Now()),
	}, held
}
