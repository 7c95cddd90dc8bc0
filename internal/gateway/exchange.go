package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"rockcleat/dispatch"
	"rockcleat/table"
)

// An exchange is one request of a caller on its way to an answer.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	route   table.Route
	service table.Service
	id      string
	body    []byte
	arrived time.Time
	// end is when the caller or the route stops waiting.
	end time.Time
	req dispatch.Request

	// sends counts requests to servers, runs those that may have run.
	sends, runs, unsent int
	// begun tells that the caller has the header of an answer.
	begun atomic.Bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// events counts the events of a stream that were passed on.
	events    int
	outcome   string
	status    int
	firstByte time.Time
	// ticket is the last place at a server; nil if there was none.
	ticket *dispatch.Reservation
	// version is that of the configuration that the request was matched with.
	version uint64
	// waited is the time to the first send, longestPause the longest between two events.
	waited, longestPause time.Duration
}

// A refusal is an answer of the gateway's own.
type refusal struct {
	status int
	reason string
	// after tells when to come back; 0 says nothing of it.
	after time.Duration
	// close ends the connection after the answer.
	close bool
}

func (f *refusal) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.after.Seconds(), 'f', 2, 64))
	}
	if f.close {
		h.Set("Connection", "close")
	}
	text := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, text)
}

// Times to come back that refusals tell.
const (
	retrySoon    = 200 * time.Millisecond
	retryUnready = 500 * time.Millisecond
)

// accept reads and checks a request.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request) (*exchange, *refusal) {
	now := g.clock.Now()
	routing := g.routing.Load()
	if routing == nil {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", after: retryUnready}
	}
	if headerBytes(r) > routing.Limits().HeaderBytes && routing.Limits().HeaderBytes > 0 {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", close: true}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := routing.Match(r.Host, path)
	if !ok {
		return nil, &refusal{status: http.StatusNotFound, reason: "no such route"}
	}
	ids := r.Header.Values(g.names.RequestID)
	if len(ids) != 1 || ids[0] == "" {
		return nil, &refusal{status: http.StatusBadRequest, reason: "one request id is needed"}
	}
	x := &exchange{g: g, w: w, r: r, route: route, id: ids[0], arrived: now, version: routing.Version()}
	if f := x.readBody(routing.Limits()); f != nil {
		return nil, f
	}
	name := route.Pick(rand.Uint64())
	x.service, ok = routing.Service(name)
	if !ok {
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no such service yet", after: retrySoon}
	}
	if !x.readDeadline() {
		return nil, &refusal{status: http.StatusBadRequest, reason: "the deadline is not a number of milliseconds"}
	}
	x.readModel()
	return x, nil
}

// headerBytes returns the size of a request's header as it was sent, about.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads the whole body, so that it can be sent again.
func (x *exchange) readBody(l table.RequestLimits) *refusal {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil
	}
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", close: true}
	if l.BodyBytes > 0 && x.r.ContentLength > l.BodyBytes {
		return tooLong
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(x.g.settings.BodyTime.Std()))
	var src io.Reader = x.r.Body
	if l.BodyBytes > 0 {
		src = io.LimitReader(src, l.BodyBytes+1)
	}
	body, err := readAll(src, x.r.ContentLength)
	if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
		return &refusal{status: http.StatusRequestTimeout, reason: "the body came too slowly", close: true}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "the body ended early", close: true}
	}
	if l.BodyBytes > 0 && int64(len(body)) > l.BodyBytes {
		return tooLong
	}
	_ = rc.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// readAll reads to the end into one buffer of the announced size, if there is one.
func readAll(r io.Reader, size int64) ([]byte, error) {
	const most = 1 << 20
	if size <= 0 || size > most {
		return io.ReadAll(r)
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(r, buf)
	return buf[:n], err
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// readDeadline sets when the request ends and reports whether its header is proper.
func (x *exchange) readDeadline() bool {
	wait := x.route.Timeout
	if v := x.r.Header.Get(x.g.names.Deadline); v != "" {
		ms, err := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
		if err != nil || ms < 0 {
			return false
		}
		d := time.Duration(ms) * time.Millisecond
		if wait <= 0 || d < wait {
			wait = d
		}
	}
	if wait <= 0 {
		wait = time.Minute
	}
	x.end = x.arrived.Add(wait)
	return true
}

// readModel fills in what the dispatcher needs to know.
func (x *exchange) readModel() {
	h := x.r.Header
	x.req = dispatch.Request{Service: x.service.Name, Priority: x.route.Priority}
	if x.service.Engine != nil {
		x.req.Model, x.req.Adapter, _ = strings.Cut(h.Get(x.g.names.Model), "/")
		prompt, output, _ := strings.Cut(h.Get(x.g.names.Tokens), ",")
		x.req.PromptTokens, _ = strconv.Atoi(strings.TrimSpace(prompt))
		x.req.MaxOutputTokens, _ = strconv.Atoi(strings.TrimSpace(output))
		x.req.Prefix = parts(h.Get(x.g.names.Prefix))
	}
	x.req.WaitUntil = x.arrived.Add(x.holdTime())
	x.req.SendBy = x.arrived.Add(x.route.FirstByteObjective * dueShare / 100)
	if x.service.Engine != nil {
		x.req.Gap = dispatch.GapBudget{
			MaxGap: dispatch.InMilliseconds(x.route.EventGapObjective), StepsPerEvent: x.service.Engine.TokensPerEvent,
		}
	}
}

// parts decodes a list of prompt parts; what is not one is passed over.
func parts(list string) []dispatch.PrefixBlock {
	if list == "" {
		return nil
	}
	items := strings.Split(list, ",")
	out := make([]dispatch.PrefixBlock, 0, len(items))
	for _, item := range items {
		id, size, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.Atoi(size)
		if ok && err == nil {
			out = append(out, dispatch.PrefixBlock{ID: id, Tokens: tokens})
		}
	}
	return out
}

// Bounds of the time that a request may wait for a server.
const (
	// shortestGiveUp is the least time after which callers leave a silent stream.
	shortestGiveUp = 2 * time.Second
	giveUpFactor   = 4
	// holdShare is the part of that time that a request may wait.
	holdShare = 0.8
	// dueShare is the part of the objective, in percent, by which a request is to be
	// sent so that its answer begins in time.
	dueShare = 70
	// holdReserve is left of the deadline for the answer itself.
	holdReserve = 400 * time.Millisecond
)

// holdTime returns how long the request may wait before it is sent.
func (x *exchange) holdTime() time.Duration {
	patience := max(shortestGiveUp, giveUpFactor*x.route.FirstByteObjective, 2*giveUpFactor*x.route.EventGapObjective)
	hold := time.Duration(float64(patience) * holdShare)
	return max(min(hold, x.end.Sub(x.arrived)-holdReserve), 0)
}

// run sends the request until it has an answer.
func (x *exchange) run() {
	x.g.budgetOf(x.service.Name).First(x.arrived)
	x.g.dispatcher.CountArrival(&x.req)
	for {
		t, err := x.g.dispatcher.Acquire(x.ctx, &x.req)
		if err != nil {
			x.giveUp(err)
			return
		}
		x.ticket = t
		if over := x.send(t); over {
			return
		}
	}
}

// giveUp ends a request that no server is left for.
func (x *exchange) giveUp(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.outcome = outcomeGone
	case x.begun.Load():
		x.cut(eris.Wrap(err, "gateway: no server to go on with"))
	case x.runs > 0:
		x.refuse(outcomeUnknown, &refusal{status: http.StatusBadGateway, reason: "the request may have run"})
	case errors.Is(err, dispatch.ErrShed):
		x.refuse(outcomeRefused, &refusal{status: http.StatusServiceUnavailable, reason: "more urgent requests wait; not run", after: x.yieldTime()})
	case x.ctx.Err() != nil:
		x.refuse(outcomeRefused, &refusal{status: http.StatusServiceUnavailable, reason: "no server in time; not run", after: retrySoon})
	default:
		x.refuse(outcomeRefused, &refusal{status: http.StatusServiceUnavailable, reason: "no server can take it; not run", after: x.g.comeBack()})
	}
}

// comeBack returns when a refused caller should try again, spread so that those
// refused together do not come back together.
func (g *Gateway) comeBack() time.Duration {
	return retrySoon + rand.N(2*retrySoon)
}

// yieldShare is the part of its objective after which a request that gave way may come back.
const yieldShare = 0.2

// yieldTime returns when a request that gave way should be tried again, spread as comeBack's.
func (x *exchange) yieldTime() time.Duration {
	return max(time.Duration(yieldShare*float64(x.route.FirstByteObjective)), retrySoon) + rand.N(2*retrySoon)
}

func (x *exchange) refuse(outcome string, f *refusal) {
	x.outcome, x.status = outcome, f.status
	f.close = f.close || x.g.leaving.Load()
	f.write(x.w)
}

// cut ends an answer that cannot be completed, so that it does not look whole.
func (x *exchange) cut(err error) {
	x.outcome = outcomeCut
	x.g.logCut(x, err)
	panic(http.ErrAbortHandler)
}
