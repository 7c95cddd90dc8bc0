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
func (fw *forwarder) copyResponse(s fleet.Server, resp *http.Response, stall *stallTimer) bool {
	if fw.call.stream && isStream(resp.Header) {
		return fw.copyStream(s, resp, stall)
	}
	if fw.headerSent {
		// A stream cannot continue with a response that is not a stream.
		return fw.serverLost(s, eris.Errorf("entry: resumed stream got a response with status %d that is not a stream", resp.StatusCode))
	}
	return fw.copyPlain(s, resp, stall)
}

// isStream reports whether a response is an event stream.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// copyPlain copies a response that is not an event stream. A response shorter than
// maxBufferedResponse is read completely first, and its outcome is recorded before it is sent.
func (fw *forwarder) copyPlain(s fleet.Server, resp *http.Response, stall *stallTimer) bool {
	r := transfer.NewProgressReader(resp.Body, stall.restart)
	buffered, err := io.ReadAll(io.LimitReader(r, maxBufferedResponse))
	if err != nil {
		return fw.attemptFailed(s, err)
	}
	fw.recordForClaim(resp, buffered)
	complete := len(buffered) < maxBufferedResponse
	if complete {
		fw.recordOutcome(wire.OutcomeAnswered)
	}
	fw.sendHeader(resp)
	fw.write(buffered)
	if complete {
		return true
	}
	if _, err := io.Copy(writerFunc(fw.write), r); err != nil {
		return fw.serverLost(s, err)
	}
	fw.recordOutcome(wire.OutcomeAnswered)
	return true
}

// recordForClaim adds part of the response to the claim record, if the request has a key.
func (fw *forwarder) recordForClaim(resp *http.Response, b []byte) {
	if fw.call.response == nil {
		return
	}
	fw.call.response.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	fw.call.response.write(b)
}

// agentHeaders are the headers of an agent's response that are not copied to the client.
var agentHeaders = []string{
	wire.HeaderLoad, wire.HeaderLeaving, wire.HeaderTableVersion, "Connection", "Transfer-Encoding", "Date",
}

// sendHeader sends the response header to the client, once.
func (fw *forwarder) sendHeader(resp *http.Response) {
	if fw.headerSent {
		return
	}
	fw.headerSent = true
	h := fw.echoContext.Response().Header()
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
	fw.proxy.metrics.FirstToken(fw.call.class(), fw.proxy.clock.Now().Sub(fw.call.arrived).Seconds())
	fw.echoContext.Response().WriteHeader(resp.StatusCode)
}

// write sends part of the response to the client. A write error is ignored: the request's context
// is canceled when the client disconnects.
func (fw *forwarder) write(b []byte) {
	_, _ = fw.echoContext.Response().Write(b)
	fw.echoContext.Response().Flush()
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
func (fw *forwarder) copyStream(s fleet.Server, resp *http.Response, stall *stallTimer) bool {
	r := bufio.NewReader(transfer.NewProgressReader(resp.Body, stall.restart))
	for {
		event, err := readEvent(r)
		if err != nil {
			return fw.streamInterrupted(s, err)
		}
		fw.sendHeader(resp)
		fw.recordForClaim(resp, event)
		if isDone(event) {
			fw.recordOutcome(wire.OutcomeAnswered)
			fw.write(event)
			return true
		}
		fw.write(event)
		if carriesToken(event) {
			fw.tokens++
		}
	}
}

// streamInterrupted handles a stream that ended without [DONE] and reports whether the call is
// over.
func (fw *forwarder) streamInterrupted(s fleet.Server, err error) bool {
	if fw.echoContext.Request().Context().Err() != nil {
		return fw.clientDisconnected()
	}
	if !fw.call.repeatable && fw.headerSent {
		fw.proxy.loadTable.Avoid(s.ID, fw.proxy.clock.Now())
		fw.abortStream()
		return true
	}
	return fw.serverLost(s, err)
}

// abortStream ends an incomplete stream. It sends an error event and closes the connection without
// [DONE].
func (fw *forwarder) abortStream() {
	fw.recordOutcome(wire.OutcomeUnknown)
	errResp := fw.unknownOutcome()
	errResp.Message = "the stream was cut; what came before is not the whole answer"
	data, err := json.Marshal(errResp.Body())
	if err == nil {
		fw.write([]byte("data: " + string(data) + "\n\n"))
	}
	panic(http.ErrAbortHandler)
}
