package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 64 << 10

// errEventTooLong tells of an event over maxEvent.
var errEventTooLong = eris.New("gateway: event too long")

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2<<10) }}

// readEvent reads one event with its empty line into buf and returns its id.
//
// At the end of the stream it returns io.EOF, and io.ErrUnexpectedEOF if that
// comes inside an event.
func readEvent(r *bufio.Reader, buf *bytes.Buffer) (id string, err error) {
	buf.Reset()
	for {
		line, err := r.ReadSlice('\n')
		buf.Write(line)
		if err == bufio.ErrBufferFull && buf.Len() < maxEvent {
			continue
		}
		if err == io.EOF && buf.Len() > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if buf.Len() > maxEvent {
			return "", errEventTooLong
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 {
			return id, nil
		} else if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// passStream passes a stream on, event by event.
func (x *exchange) passStream(ctx context.Context, t *dispatch.Reservation, resp *http.Response, silence *silence) bool {
	r := readers.Get().(*bufio.Reader)
	r.Reset(resp.Body)
	defer func() {
		r.Reset(nil)
		readers.Put(r)
	}()
	var buf bytes.Buffer
	var last time.Time
	for {
		id, err := readEvent(r, &buf)
		if err == io.EOF {
			break
		}
		if err != nil {
			return x.lost(t, cause(ctx, err))
		}
		t.FirstByte()
		silence.heard()
		now := x.g.clock.Now()
		if !last.IsZero() {
			x.longestPause = max(x.longestPause, now.Sub(last))
		}
		last = now
		if err := x.passEvent(resp, buf.Bytes()); err != nil {
			return x.callerLost(t)
		}
		if id != "" {
			x.lastEvent = id
		}
	}
	if !x.begun.Load() {
		x.begin(resp)
		x.w.WriteHeader(resp.StatusCode)
	}
	x.finish(t, resp.StatusCode)
	return true
}

// passEvent sends one event to the caller, after the header if it is the first.
func (x *exchange) passEvent(resp *http.Response, event []byte) error {
	if !x.begun.Load() {
		x.begin(resp)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(resp.StatusCode)
	}
	if _, err := x.w.Write(event); err != nil {
		return err
	}
	x.events++
	return http.NewResponseController(x.w).Flush()
}

// callerLost ends a request whose caller no longer reads.
func (x *exchange) callerLost(t *dispatch.Reservation) bool {
	t.Done(dispatch.Abandoned)
	x.outcome = outcomeGone
	return true
}
