package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A framing says how the end of a response's body is marked, and how the response is written.
type framing int

const (
	// framed: with a length.
	framed framing = iota
	// chunked: in two chunks.
	chunked
	// unframedBody: without a length; the body ends with the connection.
	unframedBody
	// twoPieces: with a length, in two writes.
	twoPieces
	framings
)

// String implements fmt.Stringer.
func (f framing) String() string {
	return [...]string{"framed", "chunked", "unframed", "in two pieces"}[f]
}

// pieceDelay is the time between the two pieces of a response.
const pieceDelay = 10 * time.Millisecond

// payload returns the body of the response to a request: two events that name the request.
func payload(id string) string {
	return fmt.Sprintf("id: 1\ndata: [%s]\n\nid: 2\ndata: [%s]\n\n", id, id)
}

// id returns the request's ID.
func (c *call) id() string { return c.Header.Get(names.RequestID) }

// writeFramed writes the whole response to the call, and reports whether the connection stays open.
func (c *call) writeFramed(status int, f framing) bool {
	switch body := payload(c.id()); f {
	case chunked:
		middle := len(body) / 2
		c.writeBody(c.head(status, "Transfer-Encoding: chunked"), chunk(body[:middle])+chunk(body[middle:])+lastChunk)
	case unframedBody:
		c.writeBody(c.head(status), body)
	case twoPieces:
		head := c.head(status, fmt.Sprintf("Content-Length: %d", len(body)))
		c.write(head[:len(head)/2])
		time.Sleep(pieceDelay)
		c.writeBody(head[len(head)/2:], body)
	default:
		c.writeBody(c.head(status, fmt.Sprintf("Content-Length: %d", len(body))), body)
	}
	return f != unframedBody
}

// writeBody writes a head and, unless the method is HEAD, a body.
func (c *call) writeBody(head, body string) {
	if c.Method == http.MethodHead {
		body = ""
	}
	c.write(head, body)
}

// chunk returns text as an HTTP chunk.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// A naming says which request a surplus response names.
type naming int

const (
	// namesEarlier: a request that the connection has carried before.
	namesEarlier naming = iota
	// namesNone: no request.
	namesNone
	// namesOtherCase: the request in whose place it comes, in another case of letters.
	namesOtherCase
	// namesTwo: two requests, the one in whose place it comes among them.
	namesTwo
	namings
)

// A surplus is a response that does not belong to the request in whose place it comes. A status of 400 or more is one of a
// refusal.
type surplus struct {
	status int
	naming naming
	// body reports whether it has a body, idLast whether the request is named behind the other fields.
	body, idLast bool
	// delay is the time before it is written.
	delay time.Duration
	// cut is how much of it is written, in per cent.
	cut int
	// informational reports whether a 1xx response comes before it.
	informational bool
}

// refusalOf returns a whole surplus refusal that names an earlier request.
func refusalOf(status int) surplus { return surplus{status: status, cut: 100} }

// text returns what is written of the surplus response in place of the response to the given request.
func (s surplus) text(earlier, id string) string {
	fields := []string{names.Signature + ": seal"}
	if s.status >= http.StatusBadRequest && s.status != http.StatusMisdirectedRequest {
		fields = append(fields, names.NotRun+": 1")
	}
	named := s.named(earlier, id)
	if s.idLast {
		fields = append(fields, named...)
	} else {
		fields = append(named, fields...)
	}
	body := ""
	if s.body {
		body = payload(earlier)
	}
	fields = append(fields, fmt.Sprintf("Content-Length: %d", len(body)))
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s\r\n\r\n%s", s.status, http.StatusText(s.status), strings.Join(fields, "\r\n"), body)
	text = text[:len(text)*s.cut/100]
	if s.informational {
		text = informational + text
	}
	return text
}

// informational is a response that announces the final one.
const informational = "HTTP/1.1 102 Processing\r\n\r\n"

// named returns the header lines that name requests.
func (s surplus) named(earlier, id string) []string {
	ids := map[naming][]string{
		namesEarlier: {earlier}, namesNone: nil, namesOtherCase: {strings.ToUpper(id)}, namesTwo: {earlier, id},
	}[s.naming]
	var lines []string
	for _, id := range ids {
		lines = append(lines, names.RequestID+": "+id)
	}
	return lines
}

// writeSurplus writes surplus responses in place of the response to the request with the given ID.
func (c *call) writeSurplus(list []surplus, earlier, id string) {
	for _, s := range list {
		time.Sleep(s.delay)
		c.write(s.text(earlier, id))
	}
}

// methodsAndBodies are the methods of requests, with and without a body. The keys are for the names of tests.
var methodsAndBodies = func() map[string]struct{ method, body string } {
	all := make(map[string]struct{ method, body string })
	for _, method := range methods {
		all[method] = struct{ method, body string }{method, ""}
		all[method+" with a body"] = struct{ method, body string }{method, strings.Repeat("x", 3000)}
	}
	return all
}()

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodOptions}

// requestOnce is request, but http.Transport does not send the request a second time if the gateway closes its connection.
func (env *testEnv) requestOnce(ctx context.Context, method, path, body, id string) *http.Request {
	r := env.request(method, path, body, names.RequestID, id).WithContext(ctx)
	r.GetBody = nil
	if body == "" && !slices.Contains([]string{http.MethodPost, http.MethodPut}, method) {
		r.Body = unknownBody{strings.NewReader("")}
	}
	return r
}

// An unknownBody is a body that http.Transport does not recognise as empty.
type unknownBody struct{ io.Reader }

// Close implements io.Closer.
func (unknownBody) Close() error { return nil }

// violation returns which promise of the gateway a reply to a request breaks, or an empty string. The request may not be
// repeated, runs is how often it has run, and its servers answer with payload.
func violation(method, id string, runs int, got reply) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("request %s ran %d times", id, runs)
	case isPromise(got.status) && runs > 0:
		return fmt.Sprintf("request %s ran and got status %d: %s", id, got.status, got.body)
	case namesOther(got.body, id):
		return fmt.Sprintf("request %s got the response to another one: %d %q", id, got.status, got.body)
	case got.status == http.StatusOK && got.err == nil && method != http.MethodHead && got.body != payload(id):
		return fmt.Sprintf("request %s got a success that is not whole: %q", id, got.body)
	case got.status == http.StatusOK && runs == 0:
		return fmt.Sprintf("request %s got a success and did not run", id)
	}
	return ""
}

// namesOther reports whether a body names another request than the given one.
func namesOther(body, id string) bool {
	return strings.Contains(strings.ReplaceAll(body, "["+id+"]", ""), "data: [")
}

// A plannedCall is a request of a caller.
type plannedCall struct {
	id, method, path, body string
	// pause is the time before it. The caller leaves after patience, unless that is zero.
	pause, patience time.Duration
}

// A callResult is a planned call with its reply.
type callResult struct {
	*plannedCall
	reply reply
}

// call makes a planned call.
func (env *testEnv) call(p *plannedCall) callResult {
	time.Sleep(p.pause)
	ctx, cancel := context.WithCancel(context.Background())
	if p.patience > 0 {
		ctx, cancel = context.WithTimeout(ctx, p.patience)
	}
	defer cancel()
	return callResult{p, env.do(env.requestOnce(ctx, p.method, p.path, p.body, p.id))}
}

// callNext makes the call that follows those before.
func (env *testEnv) callNext(before []callResult, p *plannedCall) callResult {
	p.id = requestID(len(before) + 1)
	return env.call(p)
}

// checkReplies checks that callers got their own answers or learned that their requests may have run, now and after servers
// have read what was sent to them.
func checkReplies(t *testing.T, runs *runCounter, results []callResult) {
	t.Helper()
	answered := 0
	for _, r := range results {
		assert.Equal(t, violation(r.method, r.id, runs.count(r.id), r.reply), "")
		left := r.patience > 0 && r.reply.status == 0
		assert.Assert(t, left || r.reply.status == http.StatusOK || r.reply.status == http.StatusBadGateway,
			"%s %s %s: %d %s %v", r.id, r.method, r.path, r.reply.status, r.reply.body, r.reply.err)
		if r.reply.status == http.StatusOK {
			answered++
		}
	}
	assert.Assert(t, answered > 0)
}

// after returns a server's behaviour: it answers each request in one way, and writes surplus responses after a delay.
func after(delay time.Duration, f framing, list ...surplus) behaviour {
	return func(c *call, _ string) bool {
		if !c.writeFramed(http.StatusOK, f) {
			return false
		}
		time.Sleep(delay)
		c.writeSurplus(list, c.id(), nextID(c.id()))
		return true
	}
}

// before returns a server's behaviour: on a connection that has carried a request, it writes surplus responses before its
// answer, which it writes after a delay.
func before(delay time.Duration, f framing, list ...surplus) behaviour {
	return func(c *call, earlier string) bool {
		if earlier != "" {
			c.writeSurplus(list, earlier, c.id())
			time.Sleep(delay)
		}
		return c.writeFramed(http.StatusOK, f)
	}
}

// A behaviour responds to a call. earlier is the request before it on its connection, empty if it is the first.
type behaviour func(c *call, earlier string) bool

// running returns a responder that runs all calls and behaves as b.
func running(runs *runCounter, b behaviour) responder {
	calls := newPreviousCalls()
	return func(c *call) bool {
		runs.record(c)
		earlier := ""
		if ids := calls.add(c); len(ids) > 0 {
			earlier = ids[len(ids)-1]
		}
		return b(c, earlier)
	}
}

// requestID returns the ID of the request with a number, nextID the one after a given ID.
func requestID(n int) string { return fmt.Sprint("request-", n) }

func nextID(id string) string {
	n := 0
	_, _ = fmt.Sscanf(id, "request-%d", &n)
	return requestID(n + 1)
}
