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
	"rockcleat/servertime"
)

// maxEventBytes is the maximum size of one event, in bytes.
const maxEventBytes = 64 << 10

// errEventTooLong reports an event of more than maxEventBytes bytes.
var errEventTooLong = eris.New("gateway: event too long")

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 2<<10) }}

// readEvent reads one event, including its empty line, into buf and returns the event's id.
//
// It returns io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the stream ends within an event.
func readEvent(r *bufio.Reader, buf *bytes.Buffer) (id string, err error) {
	buf.Reset()
	for {
		line, err := readLine(r, buf)
		if err == io.EOF && buf.Len() > 0 {
			return "", io.ErrUnexpectedEOF
		}
		if err != nil {
			return "", err
		}
		if text := bytes.TrimRight(line, "\r\n"); len(text) == 0 {
			return id, nil
		} else if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// readLine appends one line of an event to buf and returns the line, which is valid until the next change of buf. It
// returns errEventTooLong if buf would hold more than maxEventBytes bytes.
func readLine(r *bufio.Reader, buf *bytes.Buffer) (line []byte, err error) {
	start := buf.Len()
	for {
		part, err := r.ReadSlice('\n')
		buf.Write(part)
		switch {
		case buf.Len() > maxEventBytes:
			return nil, errEventTooLong
		case err == bufio.ErrBufferFull:
			continue
		}
		return buf.Bytes()[start:], err
	}
}

// forwardStream forwards a stream event by event, and reports whether the request is finished.
func (f *forwarder) forwardStream(ctx context.Context, res *dispatch.Reservation, resp *http.Response, stall *stallTimer) bool {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(resp.Body)
	defer func() {
		r.Reset(nil)
		readerPool.Put(r)
	}()
	var buf bytes.Buffer
	var last time.Time
	var pauses servertime.Pauses
	for {
		id, err := readEvent(r, &buf)
		if err == io.EOF {
			break
		}
		if err != nil {
			f.reportConnFailure(res, cause(ctx, err))
			return f.handleLost(res, cause(ctx, err))
		}
		res.RecordFirstByte()
		f.recordPartsAnswered()
		stall.restart()
		now := f.proxy.clock.Now()
		if !last.IsZero() {
			f.record.longestGap = max(f.record.longestGap, now.Sub(last))
			pauses.Add(float64(dispatch.InMilliseconds(now.Sub(last))))
		}
		last = now
		f.bindToVersion(res.Server())
		if err := f.forwardEvent(resp, buf.Bytes()); err != nil {
			res.Done(dispatch.Canceled)
			f.record.outcome = outcomeCallerGone
			return true
		}
		if id != "" {
			f.lastEvent = id
		}
	}
	if !f.headerSent.Load() {
		f.beginResponse(resp)
		f.w.WriteHeader(resp.StatusCode)
	}
	f.recordStream(res, &pauses)
	f.finish(res, resp.StatusCode)
	return true
}

// recordStream records the output of a complete stream, unless it continues one that was interrupted.
func (f *forwarder) recordStream(res *dispatch.Reservation, pauses *servertime.Pauses) {
	if f.in.resumed == nil && f.record.runs == 1 && f.in.service.Engine != nil {
		res.RecordStream(f.record.events*f.in.service.Engine.TokensPerEvent, pauses)
	}
}

// forwardEvent sends one event to the caller, and the header before the first one. It returns an error if the caller
// has disconnected.
func (f *forwarder) forwardEvent(resp *http.Response, event []byte) error {
	if !f.headerSent.Load() {
		f.beginResponse(resp)
		f.w.Header().Del("Content-Length")
		f.w.WriteHeader(resp.StatusCode)
	}
	if _, err := f.w.Write(event); err != nil {
		return err
	}
	f.record.events++
	return http.NewResponseController(f.w).Flush()
}
