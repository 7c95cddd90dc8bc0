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

// heldAnswer is the longest answer that is read whole before any of it is passed on, so that one
// cut before its end can be had elsewhere; in bytes.
const heldAnswer = 1 << 20

// pass gives an answer to the caller and reports whether the call is over.
func (d *delivery) pass(s fleet.Server, resp *http.Response, w *stallTimer) bool {
	if d.x.stream && isStream(resp.Header) {
		return d.passStream(s, resp, w)
	}
	if d.begun {
		// A resumed stream that is answered by something else cannot go on.
		return d.lost(s, eris.Errorf("entry: stream resumed with status %d", resp.StatusCode))
	}
	return d.passWhole(s, resp, w)
}

// isStream reports whether an answer is a stream of events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// passWhole gives an answer that is not a stream of events. One that is short
// is read whole first; its outcome is recorded before the caller has it.
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

// collect keeps the start of the answer for the record of a request with a key.
func (d *delivery) collect(resp *http.Response, b []byte) {
	if d.x.answer == nil {
		return
	}
	d.x.answer.begin(resp.StatusCode, resp.Header.Get("Content-Type"))
	d.x.answer.write(b)
}

// ownHeaders are the headers of an agent's answer that are not passed on to callers.
var ownHeaders = []string{
	wire.HeaderLoad, wire.HeaderLeaving, wire.HeaderTableVersion, "Connection", "Transfer-Encoding", "Date",
}

// begin sends the answer's header to the caller.
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

// write gives a piece of the answer to the caller; a caller that has gone shows
// in the request's context.
func (d *delivery) write(b []byte) {
	_, _ = d.c.Response().Write(b)
	d.c.Response().Flush()
}

// A writerFunc is a function as an io.Writer.
type writerFunc func([]byte)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) {
	f(b)
	return len(b), nil
}

// passStream gives the events of a stream to the caller. Only an event that is
// whole is passed on, so a stream cut anywhere can go on elsewhere from the
// token after the last one given.
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

// streamBroken handles a stream without its end mark and reports whether the
// call is over.
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

// cutStream tells the caller by an error event, and by dropping the connection
// without an end mark, that the answer is not whole.
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
