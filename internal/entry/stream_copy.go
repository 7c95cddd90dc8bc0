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

// heldAnswer is the size below which a response is read completely before any of it is sent to the
// client, in bytes. Until then the request can be retried if the response is incomplete.
const heldAnswer = 1 << 20

// pass copies the response to the client and reports whether the call is over.
func (d *delivery) pass(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	if d.x.stream && isStream(resp.Header) {
		return d.passStream(s, resp, w)
	}
	if d.begun {
		// A stream cannot continue with a response that is not a stream.
		return d.lost(s, eris.Errorf("entry: resumed stream got a response with status %d that is not a stream", resp.StatusCode))
	}
	return d.passWhole(s, resp, w)
}

// isStream reports whether a response is an event stream.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// passWhole copies a response that is not an event stream. A response shorter than heldAnswer is
// read completely first, and its outcome is recorded before it is sent.
func (d *delivery) passWhole(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	r := transfer.NewReader(resp.Body, w.progress)
	held, err := io.ReadAll(io.LimitReader(r, heldAnswer))
	if err != nil {
		return d.failed(s, err)
	}
	d.collect(resp, held)
	whole := len(held) < heldAnswer
	if whole {
		d.end(wire.OutcomeAnswered)
	}
	d.begin(resp)
	d.write(held)
	if whole {
		return true
	}
	if _, err := io.Copy(writerFunc(d.write), r); err != nil {
		return d.lost(s, err)
	}
	d.end(wire.OutcomeAnswered)
	return true
}

// collect adds part of the response to the claim record, if the request has a key.
func (d *delivery) collect(resp *http.Response, b []byte) {
	if d.x.answer == nil {
		return
	}
	d.x.answer.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	d.x.answer.write(b)
}

// ownHeaders are the headers of an agent's response that are not copied to the client.
var ownHeaders = []string{
	wire.HeaderLoad, wire.HeaderLeaving, wire.HeaderTableVersion, "Connection", "Transfer-Encoding", "Date",
}

// begin sends the response header to the client, once.
func (d *delivery) begin(resp *http.Response) {
	if d.begun {
		return
	}
	d.begun = true
	h := d.c.Response().Header()
	id := h.Get(wire.HeaderRequestID)
	for k, v := range resp.Header {
		h[k] = v
	}
	for _, k := range ownHeaders {
		h.Del(k)
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", resp.Header.Get("Content-Length"))
	}
	h.Set(wire.HeaderRequestID, id)
	d.proxy.metrics.FirstToken(d.x.class(), d.proxy.clock.Now().Sub(d.x.arrived).Seconds())
	d.c.Response().WriteHeader(resp.StatusCode)
}

// write sends part of the response to the client. A write error is ignored: the request's context
// is canceled when the client disconnects.
func (d *delivery) write(b []byte) {
	_, _ = d.c.Response().Write(b)
	d.c.Response().Flush()
}

// A writerFunc adapts a function to io.Writer.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// passStream copies the events of a stream to the client. Only complete events are sent, so that
// after an interruption another server can continue the stream with the next token.
func (d *delivery) passStream(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	r := bufio.NewReader(transfer.NewReader(resp.Body, w.progress))
	for {
		event, err := readEvent(r)
		if err != nil {
			return d.streamBroken(s, err)
		}
		d.begin(resp)
		d.collect(resp, event)
		if isDone(event) {
			d.end(wire.OutcomeAnswered)
			d.write(event)
			return true
		}
		d.write(event)
		if carriesToken(event) {
			d.tokens++
		}
	}
}

// streamBroken handles a stream that ended without [DONE] and reports whether the call is over.
func (d *delivery) streamBroken(s fleet.Server, err error) bool {
	if d.c.Request().Context().Err() != nil {
		return d.abandoned()
	}
	if !d.x.repeatable && d.begun {
		d.proxy.routes.Avoid(s.ID, d.proxy.clock.Now())
		d.cutStream()
		return true
	}
	return d.lost(s, err)
}

// cutStream ends an incomplete stream. It sends an error event and closes the connection without
// [DONE].
func (d *delivery) cutStream() {
	d.end(wire.OutcomeUnknown)
	f := d.unknown()
	f.Message = "the stream was cut; what came before is not the whole answer"
	data, err := json.Marshal(f.Body())
	if err == nil {
		d.write([]byte("data: " + string(data) + "\n\n"))
	}
	panic(http.ErrAbortHandler)
}
