package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rockcleat/clock/clocktest"
	"rockcleat/quarantine"
)

// trialFleet is a fleet of trials that call each other directly.
type trialFleet struct {
	clock   *clocktest.Clock
	ids     []string
	members map[string]*trials
	// unreachable reports whether no gateway reaches another one.
	unreachable bool
}

func newTrialFleet(ids ...string) *trialFleet {
	f := &trialFleet{clock: clocktest.New(time.Unix(100, 0)), ids: ids, members: make(map[string]*trials)}
	for _, id := range ids {
		table := quarantine.New(quarantine.Options{Clock: f.clock, CrashThreshold: 3, Duration: 10 * time.Minute})
		x := newTrials(context.Background(), id, table, f.clock)
		x.peers, x.gateways = f, func() []string { return append([]string(nil), ids...) }
		x.retryDelay = func() time.Duration { return 100 * time.Millisecond }
		f.members[id] = x
	}
	return f
}

// requestTrial implements trialPeers.
func (f *trialFleet) requestTrial(_ context.Context, gateway string, r trialRequest) (trialReply, error) {
	if f.unreachable {
		return trialReply{}, errors.New("unreachable")
	}
	return f.members[gateway].handle(r), nil
}

// begin begins a trial at a gateway, with a server for each gateway.
func (f *trialFleet) begin(gateway string, traits ...quarantine.Trait) (*trial, bool) {
	return f.beginAt(gateway, "server of "+gateway, false, traits...)
}

// beginAt begins a trial at a gateway and a server.
func (f *trialFleet) beginAt(gateway, server string, mustNotWait bool, traits ...quarantine.Trait) (*trial, bool) {
	return f.members[gateway].begin(context.Background(), traits, server, mustNotWait)
}

// crash records the crash of a server at a gateway.
func (f *trialFleet) crash(gateway, server string, onTrial bool, x quarantine.Trait) {
	f.members[gateway].table.RecordCrash(server, quarantine.Suspect{Trait: x, OnTrial: onTrial})
}

// TestTrials checks that one trial of a trait at a time runs over all gateways, and what ends it.
func TestTrials(t *testing.T) {
	x := quarantine.PartTraits("llm", []string{"x", "own"})[0]
	tests := map[string]struct {
		// between happens between the trial of gateway a and the attempt of another one, which is no owner.
		between func(f *trialFleet, first *trial)
		want    bool
	}{
		"another gateway's trial runs": {between: func(*trialFleet, *trial) {}},
		"it has ended": {between: func(f *trialFleet, first *trial) {
			first.end(true)
			f.clock.Advance(time.Millisecond)
		}, want: true},
		"it may still end a server": {between: func(f *trialFleet, first *trial) {
			first.end(false)
			f.clock.Advance(trialSettleTime / 2)
		}},
		"its server has had time to end": {between: func(f *trialFleet, first *trial) {
			first.end(false)
			f.clock.Advance(trialSettleTime + time.Millisecond)
		}, want: true},
		"its server has answered": {between: func(f *trialFleet, first *trial) {
			f.members["a"].table.RecordAnswer(x)
			first.recordAnswer()
			f.clock.Advance(time.Millisecond)
		}, want: true},
		"its gateway is lost":         {between: func(f *trialFleet, _ *trial) { f.clock.Advance(trialTimeout + time.Millisecond) }, want: true},
		"the gateways reach no other": {between: func(f *trialFleet, _ *trial) { f.unreachable = true }, want: true},
		"its crash led to a quarantine": {between: func(f *trialFleet, first *trial) {
			f.crash("a", "s2", true, x)
			f.crash("a", "s3", true, x)
			first.end(true)
			f.clock.Advance(time.Millisecond)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTrialFleet("a", "b", "c", "d")
			owners := f.members["a"].owners(trialClaim{Key: x.Key})
			other := slices.IndexFunc(f.ids, func(id string) bool { return id != "a" && !slices.Contains(owners, id) })
			second := f.ids[other]
			f.crash("a", "s1", false, x)
			f.crash(second, "s1", false, x)
			first, ok := f.begin("a", x)
			assert.Assert(t, ok)
			assert.Assert(t, first.tests(x))
			_, again := f.begin("a", x)
			assert.Assert(t, !again, "a second trial at the same gateway")
			test.between(f, first)
			_, ok = f.begin(second, x)
			assert.Equal(t, ok, test.want)
			if !ok {
				assert.Assert(t, f.members[second].isBusy([]quarantine.Trait{x}) || len(f.members[second].table.Quarantined()) > 0)
			}
		})
	}
}

// TestLateEndOfTrial guards against a message about the end of a trial that also ends the next trial of the same gateway,
// which has overtaken it, so that another gateway begins one meanwhile.
func TestLateEndOfTrial(t *testing.T) {
	x := quarantine.PartTraits("llm", []string{"x", "own"})[0]
	f := newTrialFleet("a", "b", "c", "d")
	for _, id := range f.ids {
		f.crash(id, "s1", false, x)
	}
	first, ok := f.begin("a", x)
	assert.Assert(t, ok)
	first.end(true)
	_, ok = f.begin("a", x)
	assert.Assert(t, ok)
	f.clock.Advance(time.Millisecond)
	for _, id := range []string{"b", "c", "d"} {
		_, ok := f.begin(id, x)
		assert.Assert(t, !ok, "two trials at the same time, the second one at %s", id)
	}
}

// TestServerClaimOfLostGateway checks that a gateway may test a part at a server if the one that did so is lost, or reaches no
// other.
func TestServerClaimOfLostGateway(t *testing.T) {
	traits := quarantine.PartTraits("llm", []string{"x", "y", "own"})
	tests := map[string]func(f *trialFleet){
		"lost":             func(f *trialFleet) { f.clock.Advance(trialTimeout) },
		"reaches no other": func(f *trialFleet) { f.unreachable = true },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTrialFleet("a", "b", "c", "d")
			f.crash("a", "s0", false, traits[0])
			f.crash("b", "s0", false, traits[1])
			_, ok := f.beginAt("a", "s", false, traits[0])
			assert.Assert(t, ok)
			lose(f)
			second, ok := f.beginAt("b", "s", false, traits[1])
			assert.Assert(t, ok && second.tests(traits[1]))
		})
	}
}

// TestTrialOfSeveralParts checks that a trial of several parts keeps others with any of them back and tests only the part
// that most likely makes servers crash.
func TestTrialOfSeveralParts(t *testing.T) {
	traits := quarantine.PartTraits("llm", []string{"first", "x", "rest", "own"})
	first, x, rest := traits[0], traits[1], traits[2]
	f := newTrialFleet("a")
	f.crash("a", "s1", false, first)
	f.members["a"].table.RecordAnswer(first)
	f.clock.Advance(time.Minute)
	for _, suspect := range traits {
		f.crash("a", "s2", false, suspect)
	}
	f.crash("a", "s3", false, x)
	f.crash("a", "s3", false, first)
	f.crash("a", "s4", false, first)
	begun, ok := f.begin("a", first, x, rest)
	assert.Assert(t, ok)
	assert.Assert(t, begun.tests(x), "it has more crashes than the rest, and was never cleared")
	assert.Assert(t, !begun.tests(first) && !begun.tests(rest))
	for _, suspect := range traits {
		_, ok := f.begin("a", suspect)
		assert.Assert(t, !ok, "%s is on trial already", suspect.Name)
	}
}

// TestTrialsAtOneServer checks that trials of two parts at one server run one after the other, over all gateways, so that the
// crash of the server is not charged to both.
func TestTrialsAtOneServer(t *testing.T) {
	traits := quarantine.PartTraits("llm", []string{"x", "y", "own"})
	x, y, content := traits[0], traits[1], quarantine.ContentTrait(quarantine.Key{1})
	tests := map[string]struct {
		second      quarantine.Trait
		server      string
		mustNotWait bool
		// between happens between both trials.
		between func(f *trialFleet, first *trial)
		// crashes is the number of servers that have crashed with the second trait before.
		crashes int
		// begins reports whether the second trial begins, tests whether it tests its trait.
		begins, tests bool
	}{
		"another part":                    {second: y, server: "s"},
		"another part that must not wait": {second: y, server: "s", mustNotWait: true, crashes: 2, begins: true},
		"another part that must not wait and lacks only trials": {second: y, server: "s", mustNotWait: true, crashes: 3, begins: true, tests: true},
		"another server":                  {second: y, server: "s2", begins: true, tests: true},
		"a content":                       {second: content, server: "s", begins: true, tests: true},
		"the first one has been answered": {second: y, server: "s", between: func(_ *trialFleet, x *trial) { x.recordAnswer() }, begins: true, tests: true},
		"the first one has ended":         {second: y, server: "s", between: func(_ *trialFleet, x *trial) { x.end(true) }, begins: true, tests: true},
	}
	for name, test := range tests {
		for _, gateway := range []string{"a", "b"} {
			t.Run(name+"/"+gateway, func(t *testing.T) {
				f := newTrialFleet("a", "b", "c", "d")
				f.crash("a", "s0", false, x)
				for i := range max(test.crashes, 1) {
					f.crash(gateway, fmt.Sprint("s0-", i), false, test.second)
				}
				first, ok := f.beginAt("a", "s", false, x)
				assert.Assert(t, ok && first.tests(x))
				if test.between != nil {
					test.between(f, first)
				}
				f.clock.Advance(time.Millisecond)
				second, ok := f.beginAt(gateway, test.server, test.mustNotWait, test.second)
				assert.Equal(t, ok, test.begins)
				assert.Equal(t, ok && second.tests(test.second), test.tests)
				if !ok {
					f.clock.Advance(time.Millisecond)
					_, ok := f.beginAt(gateway, "s2", false, test.second)
					assert.Assert(t, ok, "the part is still on trial")
				}
			})
		}
	}
}
