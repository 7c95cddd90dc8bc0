package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/fairqueue"
	"rockcleat/internal/engine"
	"rockcleat/internal/server"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/table"
)

// copyBufferSize is the size of the buffer for copying responses, in bytes.
const copyBufferSize = 16 << 10

// bytesPerToken is the approximate size of the event of one streamed token, in bytes. It is used to
// estimate the number of tokens of a response.
const bytesPerToken = 180

// defaultRetryAfter is the Retry-After of refusals whose cause has no known end time: it ends with
// a model load, a concurrency grant or a planner's message.
const defaultRetryAfter = time.Second

func (a *Agent) requestRouter() http.Handler {
	r := server.NewRouter()
	r.Use(server.RequireSecret(a.settings.Secret, a.metrics))
	r.Any("/*", a.serve)
	return r
}

// serve queues one request and forwards it to the backend server.
func (a *Agent) serve(c echo.Context) error {
	req := c.Request()
	name := req.Header.Get(wire.HeaderRow)
	a.fetchNewerTable(req)
	row, ok := a.replica.Current().Row(name)
	if !ok {
		return a.refuse(c, fairqueue.Refusal{Reason: fairqueue.ReasonNotResident, RetryAfter: defaultRetryAfter})
	}
	body, err := a.readBody(req)
	if err != nil {
		return a.respondBodyError(c, err)
	}
	stopHeartbeat := startHeartbeat(a.clock, c.Response().Writer, a.settings.Limits.HeartbeatTimeout.Std()/heartbeatsPerTimeout)
	defer stopHeartbeat()
	t, grant, refusal := a.waitForSlot(req, row)
	if refusal != nil {
		stopHeartbeat()
		return a.refuse(c, *refusal)
	}
	if t == nil {
		return nil
	}
	tokens := t.Tokens
	defer func() { a.finish(t, tokens) }()
	class := telemetry.Class{Tier: string(row.Tier), Organisation: row.Organisation}
	a.metrics.QueueTime(class, grant.Waited.Seconds())
	written, err := a.forward(c, grantedRequest{row: row, grant: grant, body: body, stopHeartbeat: stopHeartbeat})
	if row.Kind != table.KindService && written > 0 {
		tokens = int(written / bytesPerToken)
	}
	return err
}

// readBody reads the whole request body, before the request is queued.
func (a *Agent) readBody(req *http.Request) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(req.Body, a.settings.Limits.BodyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "agent: read body")
	}
	if int64(len(body)) > a.settings.Limits.BodyBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// errBodyTooLarge is returned if a request body exceeds the size limit. Its text is sent to the
// entry.
var errBodyTooLarge = errors.New("agent: body too long")

func (a *Agent) respondBodyError(c echo.Context, err error) error {
	errResp := wire.ErrorResponse{
		Status: http.StatusBadRequest, Outcome: wire.OutcomeNotRun, Type: wire.TypeInvalidRequest,
		Code: "body_unreadable", Message: err.Error(),
	}
	if errors.Is(err, errBodyTooLarge) {
		errResp.Status, errResp.Code = http.StatusRequestEntityTooLarge, "body_too_long"
	}
	return errResp.Write(c)
}

// A slotGrant is the grant of a slot, with the number of pauses of the process at that time.
type slotGrant struct {
	fairqueue.Grant
	pauses int
}

// waitForSlot queues the request until it is granted a slot or refused. It returns neither a ticket
// nor a refusal if the client has disconnected.
func (a *Agent) waitForSlot(req *http.Request, row table.Row) (*fairqueue.Ticket, slotGrant, *fairqueue.Refusal) {
	tokens, err := strconv.Atoi(req.Header.Get(wire.HeaderTokens))
	if err != nil {
		a.log.Debug("request has no valid token count; assuming one token", zap.String("row", row.Name), zap.Error(err))
	}
	granted := make(chan slotGrant, 1)
	refused := make(chan fairqueue.Refusal, 1)
	t := &fairqueue.Ticket{
		Row: row.Name, Tokens: max(tokens, 1),
		// The queue calls Granted while a.mu is held.
		Granted: func(g fairqueue.Grant) { granted <- slotGrant{Grant: g, pauses: a.planner.pauses} },
		Refused: func(r fairqueue.Refusal) { refused <- r },
	}
	if r := a.enqueue(t, row); r != nil {
		return nil, slotGrant{}, r
	}
	select {
	case g := <-granted:
		return t, g, nil
	case r := <-refused:
		a.countRefusal(row.Name)
		return nil, slotGrant{}, &r
	case <-req.Context().Done():
		a.finish(t, 0)
		return nil, slotGrant{}, nil
	}
}

// enqueue sets the ticket's limits and adds it to the queue. It returns a refusal if the request
// cannot be queued.
func (a *Agent) enqueue(t *fairqueue.Ticket, row table.Row) *fairqueue.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handlePause(a.clock.Now())
	a.workload.demandOf(row.Name)
	total := a.server.slots.Total(row.Name)
	switch {
	case a.closed():
		return &fairqueue.Refusal{Reason: fairqueue.ReasonLeaving}
	case a.clock.Now().Before(a.planner.refuseUntil):
		return &fairqueue.Refusal{Reason: reasonPaused, RetryAfter: defaultRetryAfter}
	case total == 0:
		return &fairqueue.Refusal{Reason: fairqueue.ReasonNotResident, RetryAfter: defaultRetryAfter}
	}
	t.Limit = fairqueue.Limit{Weight: row.EffectiveWeight(), QueueTime: row.MaxQueueTime}
	t.Limit.MaxRunning = max(1, total*row.MaxSlotShare/100)
	if row.MaxConcurrency > 0 {
		grant := a.workload.grants[row.Name]
		if grant == 0 {
			return &fairqueue.Refusal{Reason: reasonConcurrency, RetryAfter: defaultRetryAfter}
		}
		t.Limit.MaxRunning = min(t.Limit.MaxRunning, grant)
	}
	a.workload.queue.Push(t, a.clock.Now())
	return nil
}

// reasonPaused is the reason of refusals after a pause of the process.
const reasonPaused fairqueue.Reason = "paused"

// reasonConcurrency is the reason of refusals of a row whose concurrency is granted to other
// servers.
const reasonConcurrency fairqueue.Reason = "concurrency"

// countRefusal counts a request refused by the queue as demand.
func (a *Agent) countRefusal(row string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workload.demandOf(row).refused += refusedSmoothing
}

// finish removes a request from the queue and charges the tokens that it used. The slot that it
// frees is granted to the next request.
func (a *Agent) finish(t *fairqueue.Ticket, tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.handlePause(now)
	a.workload.queue.Done(t, tokens, now)
}

// refuse responds that the request was not run.
func (a *Agent) refuse(c echo.Context, r fairqueue.Refusal) error {
	a.setStateHeaders(c.Response().Header())
	status := http.StatusServiceUnavailable
	if r.Reason == fairqueue.ReasonQueueTime || r.Reason == reasonConcurrency {
		status = http.StatusTooManyRequests
	}
	errResp := wire.ErrorResponse{
		Status: status, Outcome: wire.OutcomeNotRun, Type: wire.TypeOverloaded, Code: string(r.Reason),
		Message: "the request was not run: " + string(r.Reason), RetryAfter: max(r.RetryAfter, time.Millisecond),
	}
	return errResp.Write(c)
}

// setStateHeaders sets the headers that report the agent's load and table version and whether it is
// leaving.
func (a *Agent) setStateHeaders(h http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.Set(wire.HeaderLoad, strconv.Itoa(a.server.slots.load(a.workload.queue.Waiting())))
	h.Set(wire.HeaderTableVersion, strconv.FormatUint(a.replica.Current().Version(), 10))
	if a.membership.leaving {
		h.Set(wire.HeaderLeaving, a.incarnation)
		h.Set("Connection", "close")
	}
}

// A grantedRequest is a request that has been granted a slot.
type grantedRequest struct {
	row           table.Row
	grant         slotGrant
	body          []byte
	stopHeartbeat func()
}

// forward forwards the request to the backend server and copies the response. It returns the length
// of the response body.
func (a *Agent) forward(c echo.Context, granted grantedRequest) (int64, error) {
	out, err := a.newBackendRequest(c.Request(), granted)
	if err != nil {
		return 0, err
	}
	resp, err := a.backend.Do(out)
	granted.stopHeartbeat()
	if errors.Is(err, errPaused) {
		return 0, a.refuse(c, fairqueue.Refusal{Reason: reasonPaused, RetryAfter: defaultRetryAfter})
	}
	if err != nil {
		if !wire.IsNotSent(err) {
			a.connectionLost(c.Request())
		}
		return 0, a.respondBackendError(c, err)
	}
	defer resp.Body.Close()
	a.crashes.recordRunning()
	if granted.row.Kind != table.KindService && resp.StatusCode == http.StatusNotFound {
		return 0, a.refuse(c, fairqueue.Refusal{Reason: fairqueue.ReasonNotResident, RetryAfter: defaultRetryAfter})
	}
	h := c.Response().Header()
	copyHeader(h, resp.Header)
	a.setStateHeaders(h)
	h.Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	h.Set(wire.HeaderWaited, strconv.FormatInt(granted.grant.Waited.Milliseconds(), 10))
	c.Response().WriteHeader(resp.StatusCode)
	n, err := copyFlushing(c.Response(), resp.Body)
	if err != nil {
		a.connectionLost(c.Request())
		a.log.Warn("response incomplete", zap.String("request", c.Request().Header.Get(wire.HeaderRequestID)), zap.Error(err))
		// Dropping the connection makes the entry see an incomplete response.
		panic(http.ErrAbortHandler)
	}
	return n, nil
}

// newBackendRequest returns the request to the backend server.
func (a *Agent) newBackendRequest(in *http.Request, granted grantedRequest) (*http.Request, error) {
	url := a.settings.Backend.URL + in.URL.RequestURI()
	ctx := context.WithValue(in.Context(), grantKey{}, granted.grant)
	out, err := http.NewRequestWithContext(ctx, in.Method, url, bytes.NewReader(granted.body))
	if err != nil {
		return nil, eris.Wrap(err, "agent: make request")
	}
	copyHeader(out.Header, in.Header)
	out.Header.Del("Authorization")
	out.Header.Del(wire.HeaderEntry)
	out.Header.Del(wire.HeaderDigest)
	wire.DisableRetry(out)
	a.mu.Lock()
	accelerator := a.server.slots.accelerator(granted.grant.Slot)
	a.mu.Unlock()
	if granted.row.Kind != table.KindService {
		out.Header.Set(engine.HeaderAccelerator, strconv.Itoa(accelerator))
		out.Header.Set(engine.HeaderPriority, strconv.Itoa(granted.row.EffectiveWeight()))
	}
	return out, nil
}

// grantKey is the context key of the slotGrant of a request to the backend server.
type grantKey struct{}

// errPaused is the error of a request that is not sent because the process was paused after the slot was granted.
var errPaused = errors.New("agent: paused before the request was sent")

// dialBackend opens the connection for a request to the backend server. It checks for a pause at the end, so that one while
// it connects is noticed too.
func (a *Agent) dialBackend(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := a.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if grant, ok := ctx.Value(grantKey{}).(slotGrant); ok && a.pausedSince(grant.pauses) {
		// The error does not matter: nothing was sent.
		_ = c.Close()
		return nil, errPaused
	}
	return c, nil
}

// respondBackendError responds to a request that got no response from the backend server. The
// outcome is not run if the request was not sent, else unknown.
func (a *Agent) respondBackendError(c echo.Context, err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	a.setStateHeaders(c.Response().Header())
	errResp := wire.ErrorResponse{
		Status: http.StatusBadGateway, Outcome: wire.OutcomeUnknown, Type: wire.TypeServer,
		Code: "backend_lost", Message: "the backend server gave no answer; the request may have run",
	}
	if wire.IsNotSent(err) {
		errResp.Status, errResp.Outcome, errResp.Code = http.StatusServiceUnavailable, wire.OutcomeNotRun, "backend_unreachable"
		errResp.Message, errResp.RetryAfter = "the backend server could not be reached; the request was not run", defaultRetryAfter
	}
	return errResp.Write(c)
}

// hopByHopHeaders are the hop-by-hop headers, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	for k, vs := range from {
		to[k] = append([]string(nil), vs...)
	}
	for _, k := range hopByHopHeaders {
		to.Del(k)
	}
}

// copyFlushing copies r to w and flushes w after each read. It returns the number of bytes read.
func copyFlushing(w *echo.Response, r io.Reader) (int64, error) {
	buf := make([]byte, copyBufferSize)
	var total int64
	for {
		n, err := r.Read(buf)
		if n > 0 {
			total += int64(n)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return total, eris.Wrap(werr, "agent: write response")
			}
			w.Flush()
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, eris.Wrap(err, "agent: read response")
		}
	}
}
