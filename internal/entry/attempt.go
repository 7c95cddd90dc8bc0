package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
)

// attempt sends the call to one server and reports whether the call is over.
func (d *forwarder) attempt(s fleet.Server) bool {
	end := d.proxy.routes.Begin(s.ID)
	defer end()
	ctx, cancel := context.WithCancel(d.echoContext.Request().Context())
	defer cancel()
	watch := newStallTimer(d.proxy.clock, d.proxy.limits.SilentTime.Std(), cancel)
	defer watch.stop()
	resp, err := d.proxy.agents.Do(d.request(watch.trace(ctx), s))
	if err != nil {
		return d.attemptFailed(s, err)
	}
	defer resp.Body.Close()
	d.recordServerState(s, resp.Header)
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.OutcomeNotRun:
		d.recordRefusal(resp)
		return false
	case wire.OutcomeAnswered:
		return d.copyResponse(s, resp, watch)
	}
	return d.serverLost(s, eris.Errorf("entry: agent response with status %d has no known outcome", resp.StatusCode))
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{"Connection", "Transfer-Encoding", "Upgrade", "Te", "Trailer"}

// request returns the request to the agent of s.
func (d *forwarder) request(ctx context.Context, s fleet.Server) *http.Request {
	in := d.echoContext.Request()
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", s.Addr
	out.Host = s.Addr
	out.Body = io.NopCloser(bytes.NewReader(d.call.body))
	out.ContentLength = int64(len(d.call.body))
	if len(d.call.body) == 0 {
		out.Body = http.NoBody
	}
	for _, h := range hopByHopHeaders {
		out.Header.Del(h)
	}
	h := out.Header
	h.Set("Authorization", "Bearer "+d.proxy.secret)
	h.Set(wire.HeaderRequestID, d.call.id)
	h.Set(wire.HeaderRow, d.call.row.Name)
	h.Set(wire.HeaderDigest, d.call.digest.String())
	h.Set(wire.HeaderTokens, strconv.Itoa(d.call.tokens))
	h.Set(wire.HeaderTableVersion, strconv.FormatUint(d.proxy.replica.Current().Version(), 10))
	h.Set(wire.HeaderEntry, d.proxy.controlAddr())
	h.Del(wire.HeaderResume)
	if d.tokens > 0 {
		h.Set(wire.HeaderResume, strconv.Itoa(d.tokens))
	}
	wire.SendOnce(out)
	return out
}

// recordServerState records the load and the leaving state that an agent states in the header of
// each response.
func (d *forwarder) recordServerState(s fleet.Server, h http.Header) {
	now := d.proxy.clock.Now()
	if load, err := strconv.Atoi(h.Get(wire.HeaderLoad)); err == nil {
		d.proxy.routes.Report(s.ID, load*max(s.Slots, 1)*max(len(s.Accelerators), 1)/100, now)
	}
	if inc := h.Get(wire.HeaderLeaving); inc != "" {
		d.proxy.routes.Leave(s.ID, inc)
	}
}
