package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"rockcleat/fleet"
	"rockcleat/internal/transfer"
	"rockcleat/internal/wire"
)

// maxBufferedResponse is the size below which a response is read completely before any of it is
// sent to the client, in bytes. Until then the request can be retried if the response is
// incomplete.
const maxBufferedResponse = 1 << 20

// copyResponse copies the response to the client and reports whether the call is over.
func (d *forwarder) copyResponse(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	if d.call.stream && isStream(resp.Header) {
		return d.copyStream(s, resp, w)
	}
	if d.headerSent {
		// A stream cannot continue with a response that is not a stream.
		return d.serverLost(s, eris.Errorf("entry: resumed stream got a response with status %d that is not a stream", resp.StatusCode))
	}
	return d.copyPlain(s, resp, w)
}

// isStream reports whether a response is an event stream.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyPlain copies a response that is not an event stream. A response shorter than
// maxBufferedResponse is read completely first, and its outcome is recorded before it is sent.
func (d *forwarder) copyPlain(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	r := transfer.NewReader(resp.Body, w.restart)
	held, err := io.ReadAll(io.LimitReader(r, maxBufferedResponse))
	if err != nil {
		return d.attemptFailed(s, err)
	}
	d.recordForClaim(resp, held)
	whole := len(held) < maxBufferedResponse
	if whole {
		d.recordOutcome(wire.OutcomeAnswered)
	}
	d.sendHeader(resp)
	d.write(held)
	if whole {
		return true
	}
	if _, err := io.Copy(writerFunc(d.write), r); err != nil {
		return d.serverLost(s, err)
	}
	d.recordOutcome(wire.OutcomeAnswered)
	return true
}

// recordForClaim adds part of the response to the claim record, if the request has a key.
func (d *forwarder) recordForClaim(resp *http.Response, b []byte) {
	if d.call.response == nil {
		return
	}
	d.call.response.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	d.call.response.write(b)
}

// agentHeaders are the headers of an agent's response that are not copied to the client.
var agentHeaders = []string{
	wire.HeaderLoad, wire.HeaderLeaving, wire.HeaderTableVersion, "Connection", "Transfer-Encoding", "Date",
}

// sendHeader sends the response header to the client, once.
func (d *forwarder) sendHeader(resp *http.Response) {
	if d.headerSent {
		return
	}
	d.headerSent = true
	h := d.echoContext.Response().Header()
	id := h.Get(wire.HeaderRequestID)
	for k, v := range resp.Header {
		h[k] = v
	}
	for _, k := range agentHeaders {
		h.Del(k)
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	h.Set(wire.HeaderRequestID, id)
	d.proxy.metrics.FirstToken(d.call.class(), d.proxy.clock.Now().Sub(d.call.arrived).Seconds())
	d.echoContext.Response().WriteHeader(resp.StatusCode)
}

// write sends part of the response to the client. A write error is ignored: the request's context
// is canceled when the client disconnects.
func (d *forwarder) write(b []byte) {
	_, _ = d.echoContext.Response().Write(b)
	d.echoContext.Response().Flush()
}

// A writerFunc adapts a function to io.Writer.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// copyStream copies the events of a stream to the client. Only complete events are sent, so that
// after an interruption another server can continue the stream with the next token.
func (d *forwarder) copyStream(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	r := bufio.NewReader(transfer.NewReader(resp.Body, w.restart))
	for {
		event, err := readEvent(r)
		if err != nil {
			return d.streamInterrupted(s, err)
		}
		d.sendHeader(resp)
		d.recordForClaim(resp, event)
		if isDone(event) {
			d.recordOutcome(wire.OutcomeAnswered)
			d.write(event)
			return true
		}
		d.write(event)
		if carriesToken(event) {
			d.tokens++
		}
	}
}

// streamInterrupted handles a stream that ended without [DONE] and reports whether the call is
// over.
func (d *forwarder) streamInterrupted(s fleet.Server, err error) bool {
	if d.echoContext.Request().Context().Err() != nil {
		return d.clientGone()
	}
	if !d.call.repeatable && d.headerSent {
		d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
		d.abortStream()
		return true
	}
	return d.serverLost(s, err)
}

// abortStream ends an incomplete stream. It sends an error event and closes the connection without
// [DONE].
func (d *forwarder) abortStream() {
	d.recordOutcome(wire.OutcomeUnknown)
	f := d.unknownOutcome()
	f.Message = "the stream was cut; what came before is not the whole answer"
	data, err := json.Marshal(f.Body())
	if err == nil {
		d.write([]byte("data: " + string(data) + "\n\n"))
	}
	panic(http.ErrAbortHandler)
}
