package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
	"rockcleat/route"
)

// maxTries bounds the servers that one request is sent to.
const maxTries = 4

// Times of waiting for a model that is on its way.
const (
	arrivalPoll = 20 * time.Millisecond
	maxArrival  = 10 * time.Second
)

// A delivery is the state of passing one call's answer to its caller.
type delivery struct {
	e   *Entry
	c   echo.Context
	x   *call
	out wire.Outcome
	// begun tells that the answer's header has been sent to the caller.
	begun bool
	// tokens is the number of streamed tokens that the caller has.
	tokens int
	// refusal is the best refusal so far.
	refusal *wire.Failure
	// tried holds the incarnation of each server that was tried.
	tried map[string]string
	// mayHaveRun tells that a server was lost that may have run the request.
	mayHaveRun bool
	// refusedByLeaver tells that a server refused because it is leaving.
	refusedByLeaver bool
	finish          func(wire.Outcome)
}

// forward answers a call that needs no claim.
func (e *Entry) forward(c echo.Context, x *call) {
	e.forwardThen(c, x, func(wire.Outcome) {})
}

// forwardThen answers a call and tells finish its outcome before the caller has
// the end of the answer.
func (e *Entry) forwardThen(c echo.Context, x *call, finish func(wire.Outcome)) {
	d := &delivery{e: e, c: c, x: x, tried: make(map[string]string), finish: finish}
	e.budget.First()
	for try := 0; try < maxTries; try++ {
		s, ok := d.next()
		if !ok {
			break
		}
		if try > 0 && !e.budget.Allow() {
			e.log.Warn("retry budget used up", zap.String("request", x.id))
			break
		}
		if try > 0 {
			e.metrics.Retry(x.class())
		}
		d.tried[s.ID] = s.Incarnation
		if d.attempt(s) {
			return
		}
	}
	d.giveUp()
}

// next chooses the server to try. It waits for one, within the row's queue time,
// if the model is on its way or if a server was lost under the request: then its
// place is being made elsewhere.
func (d *delivery) next() (fleet.Server, bool) {
	since := d.x.arrived
	if d.mayHaveRun {
		since = d.e.clock.Now()
	}
	deadline := since.Add(min(d.x.row.QueueTime, maxArrival))
	for {
		if s, ok := d.choose(); ok {
			return s, true
		}
		onItsWay := d.mayHaveRun || d.e.arriving(d.x.row.Name) && (len(d.tried) == 0 || d.refusedByLeaver)
		if !onItsWay || !d.e.clock.Now().Before(deadline) {
			return fleet.Server{}, false
		}
		select {
		case <-time.After(arrivalPoll):
		case <-d.c.Request().Context().Done():
			return fleet.Server{}, false
		}
	}
}

// choose returns the best server not yet tried. One that is leaving is chosen
// only when no other has the model or adapter; it decides itself whether it
// still takes the request.
func (d *delivery) choose() (fleet.Server, bool) {
	servers := slices.DeleteFunc(slices.Clone(d.e.view.Serving(d.x.row.Name)), func(s fleet.Server) bool {
		return d.tried[s.ID] == s.Incarnation
	})
	staying := slices.DeleteFunc(slices.Clone(servers), d.leaving)
	if len(staying) > 0 {
		servers = staying
	}
	if len(servers) == 0 {
		return fleet.Server{}, false
	}
	cands := make([]route.Candidate, len(servers))
	for i, s := range servers {
		cands[i] = route.Candidate{ID: s.ID, Hall: s.Hall}
	}
	best := d.e.routes.Order(cands, d.x.prefix, d.e.clock.Now())[0]
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return s.ID == best.ID })
	return servers[i], true
}

func (d *delivery) leaving(s fleet.Server) bool {
	return s.Leaving || d.e.members.isLeaving(s.ID) || d.e.routes.Leaving(s.ID, s.Incarnation)
}

// arriving reports whether a server is loading the model or adapter.
func (e *Entry) arriving(name string) bool {
	return slices.ContainsFunc(e.view.Servers(), func(s fleet.Server) bool {
		return slices.ContainsFunc(s.Residents, func(r fleet.Resident) bool {
			return r.Name == name && r.State == fleet.StateLoading
		})
	})
}

// attempt sends the call to one server and reports whether the call is over.
func (d *delivery) attempt(s fleet.Server) bool {
	end := d.e.routes.Begin(s.ID)
	defer end()
	ctx, cancel := context.WithCancel(d.c.Request().Context())
	defer cancel()
	watch := newStallTimer(d.e.settings.Limits.SilentTime.Std(), cancel)
	defer watch.stop()
	resp, err := d.e.agents.Do(d.request(watch.trace(ctx), s))
	if err != nil {
		return d.failed(s, err)
	}
	defer resp.Body.Close()
	d.note(s, resp.Header)
	switch wire.Outcome(resp.Header.Get(wire.HeaderOutcome)) {
	case wire.OutcomeNotRun:
		d.keepRefusal(resp)
		return false
	case wire.OutcomeAnswered:
		return d.pass(s, resp, watch)
	}
	return d.lost(s, eris.Errorf("entry: agent answered %d without a known outcome", resp.StatusCode))
}

// request makes the request to an agent.
func (d *delivery) request(ctx context.Context, s fleet.Server) *http.Request {
	in := d.c.Request()
	out := in.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme, out.URL.Host = "http", s.Addr
	out.Host = s.Addr
	out.Body = io.NopCloser(bytes.NewReader(d.x.body))
	out.ContentLength = int64(len(d.x.body))
	if len(d.x.body) == 0 {
		out.Body = http.NoBody
	}
	for _, h := range []string{"Connection", "Transfer-Encoding", "Upgrade", "Te", "Trailer"} {
		out.Header.Del(h)
	}
	h := out.Header
	h.Set("Authorization", "Bearer "+d.e.settings.Secret)
	h.Set(wire.HeaderRequestID, d.x.id)
	h.Set(wire.HeaderRow, d.x.row.Name)
	h.Set(wire.HeaderTokens, strconv.Itoa(d.x.tokens))
	h.Set(wire.HeaderTableVersion, strconv.FormatUint(d.e.replica.Current().Version(), 10))
	h.Set(wire.HeaderEntry, d.e.ControlAddr())
	h.Del(wire.HeaderResume)
	if d.tokens > 0 {
		h.Set(wire.HeaderResume, strconv.Itoa(d.tokens))
	}
	wire.SendOnce(out)
	return out
}

// note takes over what an agent says on each answer.
func (d *delivery) note(s fleet.Server, h http.Header) {
	now := d.e.clock.Now()
	if load, err := strconv.Atoi(h.Get(wire.HeaderLoad)); err == nil {
		d.e.routes.Report(s.ID, load*max(s.Slots, 1)*max(len(s.Accelerators), 1)/100, now)
	}
	if inc := h.Get(wire.HeaderLeaving); inc != "" {
		d.e.routes.Leave(s.ID, inc)
	}
}

// keepRefusal remembers an agent's refusal, the one with the shortest time to
// come back before others.
func (d *delivery) keepRefusal(resp *http.Response) {
	f := &wire.Failure{
		Status: resp.StatusCode, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
		Code: resp.Header.Get(wire.HeaderReason), RetryAfter: wire.RetryAfter(resp.Header),
	}
	f.Message = "the request was not run: " + f.Code
	d.refusedByLeaver = d.refusedByLeaver || resp.Header.Get(wire.HeaderLeaving) != ""
	if d.refusal == nil || f.RetryAfter < d.refusal.RetryAfter {
		d.refusal = f
	}
}

// failed handles a call that got no answer's header and reports whether it is over.
func (d *delivery) failed(s fleet.Server, err error) bool {
	if d.c.Request().Context().Err() != nil {
		return d.abandoned()
	}
	d.e.routes.Avoid(s.ID, d.e.clock.Now())
	if wire.IsNotSent(err) {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeServer,
			Code: "backend_unreachable", Message: "no backend server could be reached; the request was not run",
			RetryAfter: retrySoon,
		}
		return false
	}
	return d.lost(s, err)
}

// lost handles a server that may have run the request and reports whether the
// call is over: one that may be repeated goes on elsewhere.
func (d *delivery) lost(s fleet.Server, err error) bool {
	d.e.log.Warn("backend server lost", zap.String("request", d.x.id), zap.String("server", s.ID),
		zap.Int("tokens", d.tokens), zap.Error(err))
	d.e.routes.Avoid(s.ID, d.e.clock.Now())
	d.mayHaveRun = true
	if d.x.repeatable && (!d.begun || d.x.stream) {
		return false
	}
	d.end(wire.OutcomeUnknown)
	if d.begun {
		panic(http.ErrAbortHandler)
	}
	_ = d.unknown().Write(d.c)
	return true
}

func (d *delivery) unknown() wire.Failure {
	return wire.Failure{
		Status: http.StatusBadGateway, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer, Code: "backend_lost",
		Message: "the backend server was lost; the request may have run and is not sent again",
	}
}

// abandoned ends a call whose caller has gone.
func (d *delivery) abandoned() bool {
	d.end(wire.OutcomeUnknown)
	return true
}

// giveUp answers at once when no server is left to try.
func (d *delivery) giveUp() {
	if d.c.Request().Context().Err() != nil {
		d.abandoned()
		return
	}
	if d.begun {
		d.cutStream()
		return
	}
	if d.mayHaveRun {
		d.end(wire.OutcomeUnknown)
		_ = d.unknown().Write(d.c)
		return
	}
	if d.refusal == nil {
		d.refusal = &wire.Failure{
			Status: http.StatusServiceUnavailable, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded,
			Code: "no_place", Message: "no backend server has it ready now; the request was not run", RetryAfter: retrySoon,
		}
	}
	d.e.decisions.Record(wire.Decision{
		Time: d.e.clock.Now().UnixMilli(), Kind: "refuse", Name: d.x.row.Name, Reason: d.refusal.Code,
	})
	d.end(wire.OutcomeNotRun)
	_ = d.refusal.Write(d.c)
}

// end counts the outcome and tells it to whoever keeps the call's record.
func (d *delivery) end(o wire.Outcome) {
	if d.out != "" {
		return
	}
	d.out = o
	d.e.metrics.Request(d.x.class(), string(o))
	d.e.metrics.Duration(d.x.class(), d.e.clock.Now().Sub(d.x.arrived).Seconds())
	d.finish(o)
}

// A stallTimer cancels an attempt whose server sends nothing for too long.
type stallTimer struct {
	limit time.Duration
	timer *time.Timer
}

func newStallTimer(limit time.Duration, cancel func()) *stallTimer {
	return &stallTimer{limit: limit, timer: time.AfterFunc(limit, cancel)}
}

// progress starts the time anew.
func (s *stallTimer) progress() { s.timer.Reset(s.limit) }

func (s *stallTimer) stop() { s.timer.Stop() }

// trace makes the agent's interim responses, which show that it is alive while the request
// waits or runs, count as progress.
func (s *stallTimer) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			s.progress()
			return nil
		},
	})
}
