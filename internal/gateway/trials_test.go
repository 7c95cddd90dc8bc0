package gateway

import (
	"context"
	"errors"
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

// begin begins a trial at a gateway.
func (f *trialFleet) begin(gateway string, traits ...quarantine.Trait) (*trial, bool) {
	return f.members[gateway].begin(context.Background(), traits)
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
			owners := f.members["a"].owners(x.Key)
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
