package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rockcleat/internal/wire"
	"rockcleat/relay"
)

// Crashes of servers under requests with one part in their prompts after which no more than maxLateSends such requests may
// reach servers later than propagationTime. It is a requirement of the platform.
const partCrashes = 5

// A promptSender sends requests to gateways in turn. No two of them are alike: each has its own ID, body and last part.
type promptSender struct {
	env    *testEnv
	fronts []string
	path   string
	sent   int
}

// send sends a request whose prompt begins with the given parts.
func (p *promptSender) send(parts ...string) reply { return p.env.do(p.request(parts...)) }

// request returns the next request, whose prompt begins with the given parts.
func (p *promptSender) request(parts ...string) *http.Request {
	p.sent++
	id := fmt.Sprintf("%s-%d", p.path, p.sent)
	header := ""
	for _, part := range parts {
		header += part + ":100,"
	}
	header += fmt.Sprintf("own-%d:10", p.sent)
	req := p.env.request(http.MethodPost, p.path, id, names.Prefix, header, names.RequestID, id)
	req.URL.Host = p.fronts[p.sent%len(p.fronts)]
	return req
}

// send sends a deadly and a sound request, which share their other parts, and records what becomes of them.
func (r *partRecord) send(caller *promptSender, servers *crashingServers) {
	before := servers.crashes.Load()
	got := caller.send("shared", deadlyPart, "rest")
	if reached := servers.crashes.Load() > before; reached {
		r.crashes = append(r.crashes, time.Now())
	} else if got.status != http.StatusServiceUnavailable {
		r.wronglyAnswered = append(r.wronglyAnswered, got)
	}
	got = caller.send("shared", "fine", "rest")
	r.sound = append(r.sound, soundRequest{sent: time.Now(), served: got.err == nil && got.status == http.StatusOK})
}

// A partRecord holds what became of requests with a deadly part and of sound ones that share their other parts.
type partRecord struct {
	// crashes are the times of the crashes of servers.
	crashes []time.Time
	sound   []soundRequest
	// wronglyAnswered are the responses to deadly requests that reached no server and are not said to be not run.
	wronglyAnswered []reply
}

type soundRequest struct {
	sent   time.Time
	served bool
}

// settledAt returns propagationTime after the fifth crash, or the last one if there are fewer.
func (r *partRecord) settledAt() time.Time {
	return r.crashes[min(len(r.crashes), partCrashes)-1].Add(propagationTime)
}

// after returns the number of crashes and of unserved sound requests after a time.
func (r *partRecord) after(t time.Time) (crashes, unserved int) {
	for _, at := range r.crashes {
		if at.After(t) {
			crashes++
		}
	}
	for _, x := range r.sound {
		if x.sent.After(t) && !x.served {
			unserved++
		}
	}
	return crashes, unserved
}

// TestPromptPartThatCrashesServers checks that prompts with a part that crashes servers are quarantined at all gateways
// though no two requests are alike, and that requests which share the other parts are served.
func TestPromptPartThatCrashesServers(t *testing.T) {
	const interval, duration = 50 * time.Millisecond, 2*propagationTime + time.Second
	tests := map[string]struct {
		path  string
		serve responder
	}{
		"plain":            {path: pathUnsafe, serve: respond(http.StatusOK, "fine")},
		"stream":           {path: pathStream, serve: stream(3)},
		"resumable stream": {path: pathResume, serve: stream(3)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env, servers := newCrashingEnv(t, 12, test.serve)
			caller := &promptSender{env: env, path: test.path, fronts: []string{env.front}}
			for _, m := range startFleet(t, env, relay.Fanout+1) {
				caller.fronts = append(caller.fronts, m.front)
			}
			var r partRecord
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for started := time.Now(); time.Since(started) < duration; <-ticker.C {
				r.send(caller, servers)
			}
			assert.Assert(t, len(r.crashes) > 0)
			late, unserved := r.after(r.settledAt())
			t.Logf("%d servers crashed, %d of them late; %d late sound requests were not served", len(r.crashes), late, unserved)
			assert.Check(t, late <= maxLateSends, "%d servers crashed too late", late)
			assert.Check(t, unserved == 0, "%d sound requests were not served", unserved)
			assert.Check(t, len(r.wronglyAnswered) == 0, "a request that has not run: %+v", r.wronglyAnswered)
		})
	}
}

// TestPartQuarantineOutlastsAllGateways checks that a gateway started after the loss of all gateways refuses prompts with
// a quarantined part as not run, and serves those that share the other parts.
func TestPartQuarantineOutlastsAllGateways(t *testing.T) {
	env, servers := newCrashingEnv(t, 8, respond(http.StatusOK, "fine"))
	caller := &promptSender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		caller.send("shared", deadlyPart, "rest")
		caller.send("shared", "fine", "rest")
		if stored, err := env.store.List(t.Context(), "quarantine/"); err != nil || len(stored) != 1 {
			return poll.Continue("%d keys, %v", len(stored), err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	s := env.replaceQuarantinedGateway()
	caller.fronts = []string{s.Listen}
	before := servers.crashes.Load()
	got := caller.send("other", deadlyPart)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, servers.crashes.Load(), before)
	assert.Equal(t, caller.send("shared", "fine", "rest").status, http.StatusOK)
	assert.Equal(t, caller.send("shared", "fine").status, http.StatusOK)
	code, out := env.command("quarantine", "list", "-gateway", s.PeerListen)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, deadlyPart) && strings.Contains(out, "part"), out)
}

// permits returns the numbers of permits that the gateway has granted for the only server with a rate limit: all, and
// those that were not returned.
func (env *testEnv) permits() (granted int64, spent float64) {
	env.t.Helper()
	code, printed := env.command("limits", "-gateways", env.peer, "-json")
	assert.Equal(env.t, code, 0, printed)
	var list wire.LimitList
	assert.NilError(env.t, json.Unmarshal([]byte(printed), &list))
	assert.Equal(env.t, len(list.Servers), 1)
	return list.Servers[0].Inside, list.Servers[0].Spent
}

// TestRequestThatAwaitsItsTrialKeepsNoPermit guards against permits of a server's rate limit that are lost with
// reservations which are given up: a request with two suspected parts first waits for trials of either of them.
func TestRequestThatAwaitsItsTrialKeepsNoPermit(t *testing.T) {
	// callerTimeout is shorter than the wait for other trials.
	const callerTimeout = 200 * time.Millisecond
	env, servers := newCrashingEnv(t, 1, respond(http.StatusOK, "fine"))
	env.awaitServers(1)
	servers.stop()
	caller := &promptSender{env: env, path: pathUnsafe, fronts: []string{env.front}}
	caller.send("shared", deadlyPart)
	assert.Equal(t, servers.crashes.Load(), int64(1))
	env.store.Remove(prefix + "s0-1")

	limited := newThrottledServer(t, "limited", false)
	limited.setLimit("20")
	env.putServer(limited.fakeServer, false)
	env.awaitPath(pathUnsafe, http.StatusOK)
	granted, spent := env.permits()
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	got := env.do(caller.request("shared", deadlyPart).WithContext(ctx))
	assert.ErrorIs(t, got.err, context.DeadlineExceeded)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		grantedSince, spentSince := env.permits()
		if grantedSince == granted || spentSince != spent {
			return poll.Continue("%d permits, then %d; %v not returned, then %v", granted, grantedSince, spent, spentSince)
		}
		return poll.Success()
	})
}
