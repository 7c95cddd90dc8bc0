package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rockcleat/internal/config"
	"rockcleat/internal/rapidtest"
)

// An ending is what a server does with a request.
type ending int

const (
	// answered: it runs the request and responds.
	answered ending = iota
	// refused: it refuses the request.
	refused
	// resetBeforeRun, resetAfterRun: it resets the connection.
	resetBeforeRun
	resetAfterRun
	// cutShort: it runs the request and breaks off in the middle of its response.
	cutShort
)

// An action is what a server does with one send of a request.
type action struct {
	ending  ending
	status  int
	framing framing
	// late is the time before the response; informational reports whether a 1xx response comes before it.
	late          time.Duration
	informational bool
	// before and after hold surplus responses.
	before, after []surplus
	// pauses reports whether a refusal says that the server pauses, refusedTwice whether it is written again, after gap.
	pauses, refusedTwice bool
	gap                  time.Duration
}

// A drawnCall is a planned call with what servers do with it.
type drawnCall struct {
	plannedCall
	// next is the ID of the caller's next request, if there is one.
	next string
	// actions holds an action for each send. Further sends are answered.
	actions []action
}

// drawDelay draws a time that is mostly zero.
func drawDelay(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 5, 20, 50, 200}).Draw(t, label)) * time.Millisecond
}

// drawSurplus draws up to two surplus responses, often none.
func drawSurplus(t *rapid.T, label string) []surplus {
	var list []surplus
	for range rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2}).Draw(t, label) {
		list = append(list, surplus{
			status: rapid.SampledFrom([]int{503, 503, 429, 421, 200}).Draw(t, "surplus status"),
			naming: naming(rapid.IntRange(0, int(namings)-1).Draw(t, "naming")),
			body:   rapid.Bool().Draw(t, "surplus body"), idLast: rapid.Bool().Draw(t, "id last"),
			delay: drawDelay(t, "surplus delay"), cut: rapid.SampledFrom([]int{100, 100, 100, rapid.IntRange(1, 99).Draw(t, "cut at")}).Draw(t, "cut"),
			informational: rapid.IntRange(0, 4).Draw(t, "surplus informational") == 0,
		})
	}
	return list
}

// pause is how long a server accepts no requests after a refusal that says so.
const pause = 50 * time.Millisecond

func drawAction(t *rapid.T) action {
	a := action{
		ending:  rapid.SampledFrom([]ending{answered, answered, answered, answered, refused, refused, resetBeforeRun, resetAfterRun, cutShort}).Draw(t, "ending"),
		framing: framing(rapid.IntRange(0, int(framings)-1).Draw(t, "framing")),
		late:    rapid.SampledFrom([]time.Duration{0, 0, 0, 100 * time.Millisecond}).Draw(t, "late"),
		before:  drawSurplus(t, "surplus before"), after: drawSurplus(t, "surplus after"),
		informational: rapid.IntRange(0, 4).Draw(t, "informational") == 0, refusedTwice: rapid.Bool().Draw(t, "refused twice"),
		pauses: rapid.Bool().Draw(t, "pauses"), gap: rapid.SampledFrom([]time.Duration{0, 2 * pause, 4 * pause}).Draw(t, "gap"),
	}
	statuses := []int{200, 200, 200, 200, 408, 429, 503, 500}
	if a.ending == refused {
		// A server that has sent a 421 gets no requests for a second.
		statuses = []int{503, 503, 503, 503, 429, 429, 429, 429, 421}
	}
	a.status = rapid.SampledFrom(statuses).Draw(t, "status")
	return a
}

// drawCalls draws the requests of one caller.
func drawCalls(t *rapid.T, prefix string) []*drawnCall {
	var calls []*drawnCall
	for i := range rapid.IntRange(1, 5).Draw(t, "calls") {
		p := &drawnCall{next: fmt.Sprint(prefix, i+1), plannedCall: plannedCall{
			id: fmt.Sprint(prefix, i), method: rapid.SampledFrom(methods).Draw(t, "method"), path: pathUnsafe,
			body:  rapid.SampledFrom([]string{"", "short", strings.Repeat("x", 3000)}).Draw(t, "body"),
			pause: drawDelay(t, "pause"), patience: rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 30 * time.Millisecond}).Draw(t, "patience"),
		}}
		if rapid.IntRange(0, 2).Draw(t, "stream") == 0 {
			p.method, p.path = http.MethodPost, pathStream
		}
		for range rapid.IntRange(0, 3).Draw(t, "actions") {
			p.actions = append(p.actions, drawAction(t))
		}
		calls = append(calls, p)
	}
	return calls
}

// A responseScript plays the servers' part of drawn cases.
type responseScript struct {
	runs    *runCounter
	carried *previousCalls

	mu    sync.Mutex
	plans map[string]*drawnCall
	sends map[string]int
}

func newResponseScript() *responseScript {
	return &responseScript{runs: newRunCounter(), carried: newPreviousCalls(), plans: make(map[string]*drawnCall), sends: make(map[string]int)}
}

func (s *responseScript) add(p *drawnCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.plans[p.id] = p
}

// next returns the action for the next send of a request, and the ID of the request after it.
func (s *responseScript) next(id string) (a action, next string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, n := s.plans[id], s.sends[id]
	s.sends[id]++
	if n < len(p.actions) {
		return p.actions[n], p.next
	}
	return action{status: http.StatusOK}, p.next
}

// respond is a responder.
func (s *responseScript) respond(c *call) bool {
	a, next := s.next(c.id())
	carried := s.carried.add(c)
	if a.ending == resetBeforeRun {
		return c.reset()
	}
	if a.ending != refused {
		s.runs.record(c)
	}
	if len(carried) > 0 {
		c.writeSurplus(a.before, carried[len(carried)-1], c.id())
	}
	time.Sleep(a.late)
	if a.informational {
		c.write(informational)
	}
	open := a.respond(c)
	if open {
		c.writeSurplus(a.after, c.id(), next)
	}
	return open
}

// respond writes the response to the call, and reports whether the connection stays open.
func (a action) respond(c *call) bool {
	switch a.ending {
	case resetAfterRun:
		return c.reset()
	case cutShort:
		c.write(c.head(a.status, "Content-Length: 1000"), "data: ["+c.id()+"]")
		return false
	case refused:
		text := a.refusal(c)
		c.write(text)
		if a.refusedTwice {
			time.Sleep(a.gap)
			c.write(text)
		}
		return true
	}
	return c.writeFramed(a.status, a.framing)
}

// refusal returns the text of a refusal of the call.
func (a action) refusal(c *call) string {
	lines := []string{"Content-Length: 0"}
	if a.status != http.StatusMisdirectedRequest {
		lines = append(lines, names.NotRun+": 1")
	}
	if a.pauses {
		lines = append(lines, fmt.Sprintf("%s: %g", names.RetryAfter, pause.Seconds()))
	}
	return c.head(a.status, lines...)
}

// play makes the calls of all callers, each caller's one after the other.
func (env *testEnv) play(callers [][]*drawnCall) []callResult {
	results := make(chan callResult, 100)
	var running sync.WaitGroup
	for _, calls := range callers {
		running.Go(func() {
			for _, p := range calls {
				results <- env.call(&p.plannedCall)
			}
		})
	}
	running.Wait()
	close(results)
	var list []callResult
	for r := range results {
		list = append(list, r)
	}
	return list
}

// violations returns the promises that the replies break.
func (s *responseScript) violations(results []callResult) []string {
	var list []string
	for _, r := range results {
		if v := violation(r.method, r.id, s.runs.count(r.id), r.reply); v != "" {
			list = append(list, fmt.Sprintf("%s\n%s %s, %+v", v, r.method, r.path, s.plans[r.id].actions))
		}
	}
	return list
}

// TestResponsesInAnyOrder draws requests that may not be repeated and what servers send on their connections: responses,
// refusals, surplus copies of them and resets. It guards against a request that runs twice or is refused with a promise and
// runs, and against a response that reaches the caller of another request or in part.
func TestResponsesInAnyOrder(t *testing.T) {
	rapidtest.LimitChecks(t, 25)
	for servers := 1; servers <= 3; servers++ {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			t.Parallel()
			script := newResponseScript()
			var list []*fakeServer
			for i := range servers {
				list = append(list, newFakeServer(t, fmt.Sprint("s", i), script.respond))
			}
			env := newTestEnvWith(t, func(s *config.Gateway) { s.Retry.Fixed = 1e6 }, list...)
			env.awaitServers(servers)
			var all []callResult
			cases := 0
			rapid.Check(t, func(t *rapid.T) {
				cases++
				var callers [][]*drawnCall
				for i := range rapid.IntRange(1, 4).Draw(t, "callers") {
					callers = append(callers, drawCalls(t, fmt.Sprintf("r%d-%d-", cases, i)))
				}
				for _, calls := range callers {
					for _, p := range calls {
						script.add(p)
					}
				}
				results := env.play(callers)
				all = append(all, results...)
				if v := script.violations(results); len(v) > 0 {
					t.Fatalf("%s", strings.Join(v, "\n"))
				}
			})
			// A request that was refused must not run later either.
			assert.Equal(t, strings.Join(script.violations(all), "\n"), "")
			checkVariety(t, env, all)
		})
	}
}

// checkVariety checks that callers got successes, and that requests met refusals and surplus responses.
func checkVariety(t *testing.T, env *testEnv, all []callResult) {
	statuses := make(map[int]int)
	for _, r := range all {
		statuses[r.reply.status]++
	}
	foreign := env.logs.FilterMessage("response to another request").Len()
	refusals := env.logs.FilterMessage("send failed").FilterField(zap.String("reason", "refused")).Len()
	t.Logf("%d calls, replies by status %v, at least %d refusals and %d responses to others", len(all), statuses, refusals, foreign)
	assert.Assert(t, statuses[http.StatusOK] > 0 && refusals > 0 && foreign > 0)
}
