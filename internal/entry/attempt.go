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
func (fw *forwarder) attempt(s fleet.Server) bool {
	end := fw.proxy.loadTable.Begin(s.ID)
	defer end()
	ctx, cancel := context.WithCancel(fw.echoContext.Request().Context())
	defer cancel()
	stall := newStallTimer(fw.proxy.clock, fw.proxy.limits.HeartbeatTimeout.Std(), cancel)
	defer stall.stop()
	resp, err := fw.proxy.agents.Do(fw.request(stall.trace(ctx), s))
	if err != nil {
		return fw.attemptFailed(s, err)
	}
	defer resp.Body.Close()
	fw.recordServerState(s, resp.Header)
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.OutcomeNotRun:
		fw.recordRefusal(resp)
		return false
	case wire.OutcomeAnswered:
		return fw.copyResponse(s, resp, stall)
	}
	return fw.serverLost(s, eris.Errorf("entry: agent response with status %d has no known outcome", resp.StatusCode))
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{"Connection", "Transfer-Encoding", "Upgrade", "Te", "Trailer"}

// request returns the request to the agent of s.
func (fw *forwarder) request(ctx context.Context, s fleet.Server) *http.Request {
	in := fw.echoContext.Request()
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", s.Addr
	out.Host = s.Addr
	out.Body = io.NopCloser(bytes.NewReader(fw.call.body))
	out.ContentLength = int64(len(fw.call.body))
	if len(fw.call.body) == 0 {
		out.Body = http.NoBody
	}
	for _, h := range hopByHopHeaders {
		out.Header.Del(h)
	}
	h := out.Header
	h.Set("Authorization", "Bearer "+fw.proxy.secret)
	h.Set(wire.HeaderRequestID, fw.call.id)
	h.Set(wire.HeaderRow, fw.call.row.Name)
	h.Set(wire.HeaderDigest, fw.call.digest.String())
	h.Set(wire.HeaderTokens, strconv.Itoa(fw.call.tokens))
	h.Set(wire.HeaderTableVersion, strconv.FormatUint(fw.proxy.replica.Current().Version(), 10))
	h.Set(wire.HeaderEntry, fw.proxy.controlAddr())
	h.Del(wire.HeaderResume)
	if fw.tokens > 0 {
		h.Set(wire.HeaderResume, strconv.Itoa(fw.tokens))
	}
	wire.DisableRetry(out)
	return out
}

// recordServerState records the load of the server, and whether it is leaving, from the headers
// that agents set on each response.
func (fw *forwarder) recordServerState(s fleet.Server, h http.Header) {
	now := fw.proxy.clock.Now()
	if load, err := strconv.Atoi(h.Get(wire.HeaderLoad)); err == nil {
		fw.proxy.loadTable.ReportLoad(s.ID, load*max(s.Slots, 1)*max(len(s.Accelerators), 1)/100, now)
	}
	if incarnation := h.Get(wire.HeaderLeaving); incarnation != "" {
		fw.proxy.loadTable.MarkLeaving(s.ID, incarnation)
	}
}
