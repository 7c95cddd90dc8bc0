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
	"rockcleat/table"
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
func (x *exchange) passStream(ctx context.Context, t *dispatch.Ticket, resp *http.Response, silence *silence) bool {
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
		t.Begun()
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
func (x *exchange) callerLost(t *dispatch.Ticket) bool {
	t.Done(dispatch.Abandoned)
	x.outcome = outcomeGone
	return true
}

// Bounds of a server's silence for requests that may be repeated.
const (
	silentFirstShare = 0.5
	silentFirstLeast = 250 * time.Millisecond
	silentStream     = 1500 * time.Millisecond
)

// A silence ends a send whose server says nothing for too long, if the request
// may go on elsewhere; a nil silence ends none.
type silence struct {
	timer *time.Timer
	gap   time.Duration
}

func (x *exchange) watchSilence(cancel context.CancelCauseFunc) *silence {
	if x.runs+1 >= x.route.Attempts || x.route.Repeat == table.RepeatNever {
		return nil
	}
	first := max(time.Duration(float64(x.route.Objective)*silentFirstShare), silentFirstLeast)
	if x.route.Stream {
		first = max(first, silentStream)
	}
	return &silence{timer: time.AfterFunc(first, func() { cancel(errSilent) }), gap: silentStream}
}

// heard starts the time anew.
func (s *silence) heard() {
	if s != nil {
		s.timer.Reset(s.gap)
	}
}

func (s *silence) stop() {
	if s != nil {
		s.timer.Stop()
	}
}
