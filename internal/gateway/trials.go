package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/quarantine"
	"rockcleat/rendezvous"
)

// Parameters of trials.
const (
	// trialPollInterval is how often a request that waits for its trial checks whether it may begin.
	trialPollInterval = 20 * time.Millisecond
	// trialTimeout is how long a trial may take before its owner grants the next one, in case its gateway is lost.
	trialTimeout = 3 * time.Second
	// trialSettleTime is how long a trial continues after it has ended without a response. By then it is known whether
	// the server has crashed.
	trialSettleTime = 500 * time.Millisecond
	// jointTrialDelay is how long a request with several suspected parts waits for trials of requests with only one of
	// them, which show which part makes servers crash.
	jointTrialDelay = 500 * time.Millisecond
	// trialOwners is the number of gateways that are asked for a trial if the first one does not reply.
	trialOwners = 2
)

// A trialRequest asks the owner of a trait for a trial of it, or tells the owner that a trial has ended.
type trialRequest struct {
	Gateway string         `json:"gateway"`
	Key     quarantine.Key `json:"key"`
	// Trial numbers the trials of the sender, so that the end of one does not end the next one, which may overtake it.
	Trial uint64 `json:"trial,omitempty"`
	// Ended reports whether a trial of the sender has ended.
	Ended bool `json:"ended,omitempty"`
	// Record is what the sender knows of the trait.
	Record quarantine.Record `json:"record"`
}

// A trialReply is the reply to a trialRequest. Record is what the owner knows of the trait.
type trialReply struct {
	Granted bool              `json:"granted,omitempty"`
	Record  quarantine.Record `json:"record"`
}

// trialPeers sends trial requests to other gateways.
type trialPeers interface {
	requestTrial(ctx context.Context, gateway string, r trialRequest) (trialReply, error)
}

// trials lets only one request at a time be sent, over all gateways, of those that share a trait with which a server has
// crashed. Requests that are sent together could make several servers crash before the first crash is detected.
//
// The owner of a trait, a gateway chosen by a hash of its key, grants its trials. A gateway that reaches no owner grants
// its own. It is safe for concurrent use.
type trials struct {
	// ctx ends with the gateway.
	ctx   context.Context
	self  string
	table *quarantine.Table
	peers trialPeers
	// gateways returns the IDs of the listed gateways. retryDelay returns how long to wait after an owner has refused
	// a trial.
	gateways   func() []string
	retryDelay func() time.Duration
	clock      clock.Service

	mu sync.Mutex
	// begun is the number of trials that this gateway has begun.
	begun uint64
	// active holds the traits that requests of this gateway are testing.
	active map[quarantine.Key]struct{}
	// refusedUntil holds the traits whose owner has refused a trial, until it is asked again.
	refusedUntil map[quarantine.Key]time.Time
	// granted holds the trials that this gateway has granted as the owner.
	granted map[quarantine.Key]trialGrant
}

// A trialGrant is a trial that a gateway may run until a time.
type trialGrant struct {
	gateway string
	trial   uint64
	until   time.Time
}

func newTrials(ctx context.Context, self string, table *quarantine.Table, c clock.Service) *trials {
	return &trials{
		ctx: ctx, self: self, table: table, clock: c, active: make(map[quarantine.Key]struct{}),
		refusedUntil: make(map[quarantine.Key]time.Time), granted: make(map[quarantine.Key]trialGrant),
	}
}

// isBusy reports whether a trial of any of the traits cannot begin now, as far as this gateway knows.
func (t *trials) isBusy(traits []quarantine.Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBusyLocked(traits)
}

// isBusyLocked is isBusy with t.mu held.
func (t *trials) isBusyLocked(traits []quarantine.Trait) bool {
	now := t.clock.Now()
	return slices.ContainsFunc(traits, func(x quarantine.Trait) bool {
		_, active := t.active[x.Key]
		return active || now.Before(t.refusedUntil[x.Key])
	})
}

// begin begins a trial of the given traits. ok is false if a trial of one of them is running.
func (t *trials) begin(ctx context.Context, traits []quarantine.Trait) (begun *trial, ok bool) {
	number, ok := t.activate(traits)
	if !ok {
		return nil, false
	}
	for i, x := range traits {
		if t.obtain(ctx, x, number) {
			continue
		}
		t.deactivate(traits[i:])
		t.end(traits[:i], number)
		return nil, false
	}
	return &trial{trials: t, number: number, traits: traits, tested: t.tested(traits)}, true
}

// tested returns the traits with which the crash of a server counts as one in a trial. Of several parts, it is the one that
// most likely is the cause: those that sound requests share must not be charged with it.
func (t *trials) tested(traits []quarantine.Trait) []quarantine.Trait {
	parts, others := partitionParts(traits)
	if len(parts) > 1 {
		parts = []quarantine.Trait{t.table.LikeliestCause(parts)}
	}
	return append(others, parts...)
}

// activate marks the traits as being tested by this gateway, and returns the number of the trial. ok is false if one of them
// is busy.
func (t *trials) activate(traits []quarantine.Trait) (number uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isBusyLocked(traits) {
		return 0, false
	}
	for _, x := range traits {
		t.active[x.Key] = struct{}{}
	}
	t.begun++
	return t.begun, true
}

func (t *trials) deactivate(traits []quarantine.Trait) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range traits {
		delete(t.active, x.Key)
	}
}

// obtain asks the owner of a trait for a trial.
func (t *trials) obtain(ctx context.Context, x quarantine.Trait, number uint64) bool {
	r := trialRequest{Gateway: t.self, Key: x.Key, Trial: number}
	r.Record, _ = t.table.Record(x.Key)
	reply, ok := t.call(ctx, r)
	if !ok {
		return true
	}
	t.table.Merge([]quarantine.Record{reply.Record})
	if !reply.Granted {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.refusedUntil[x.Key] = t.clock.Now().Add(t.retryDelay())
	}
	return reply.Granted
}

// end ends the trial of traits and tells their owners, without waiting for them.
func (t *trials) end(traits []quarantine.Trait, number uint64) {
	t.deactivate(traits)
	for _, x := range traits {
		r := trialRequest{Gateway: t.self, Key: x.Key, Trial: number, Ended: true}
		r.Record, _ = t.table.Record(x.Key)
		t.clock.AfterFunc(0, func() { t.call(t.ctx, r) })
	}
}

// call sends a request to the owner of its trait. ok is false if no owner replies.
func (t *trials) call(ctx context.Context, r trialRequest) (reply trialReply, ok bool) {
	for _, owner := range t.owners(r.Key) {
		if owner == t.self {
			return t.handle(r), true
		}
		reply, err := t.peers.requestTrial(ctx, owner, r)
		if err == nil {
			return reply, true
		}
	}
	return trialReply{}, false
}

// owners returns the gateways to ask for trials of a trait, in order.
func (t *trials) owners(k quarantine.Key) []string {
	ids := t.gateways()
	if len(ids) == 0 {
		return []string{t.self}
	}
	return rendezvous.Top(ids, rendezvous.Key(k.String()), trialOwners)
}

// handle handles a trial request as the owner.
func (t *trials) handle(r trialRequest) trialReply {
	if len(r.Record.Servers) > 0 || r.Record.Generation > 0 {
		t.table.Merge([]quarantine.Record{r.Record})
	}
	x := quarantine.Trait{Key: r.Key}
	var reply trialReply
	if r.Ended {
		t.revoke(r)
	} else if _, _, quarantined := t.table.Quarantine(x); !quarantined {
		reply.Granted = len(t.table.Suspects(x)) == 0 || t.grant(r)
	}
	reply.Record, _ = t.table.Record(r.Key)
	return reply
}

// grant grants a trial unless another gateway runs one.
func (t *trials) grant(r trialRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if g, ok := t.granted[r.Key]; ok && g.gateway != r.Gateway && now.Before(g.until) {
		return false
	}
	t.granted[r.Key] = trialGrant{gateway: r.Gateway, trial: r.Trial, until: now.Add(trialTimeout)}
	return true
}

// revoke ends the grant of a trial.
func (t *trials) revoke(r trialRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.granted[r.Key]; g.gateway == r.Gateway && g.trial == r.Trial {
		delete(t.granted, r.Key)
	}
}

// expire removes refusals and grants that are over.
func (t *trials) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.refusedUntil, func(_ quarantine.Key, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.granted, func(_ quarantine.Key, g trialGrant) bool { return !now.Before(g.until) })
}

// A trial is the sending of one request with suspected traits while no other request with them is sent. A nil trial
// tests nothing.
type trial struct {
	trials *trials
	// number is the number of the trial at its gateway.
	number uint64
	// traits are those that no other request may have. tested are those of them that the trial tests.
	traits, tested []quarantine.Trait
}

// tests reports whether the trial tests a trait.
func (t *trial) tests(x quarantine.Trait) bool { return t != nil && slices.Contains(t.tested, x) }

// recordAnswer ends the trial of the parts, which the server's answer has cleared.
func (t *trial) recordAnswer() {
	if t == nil {
		return
	}
	var parts []quarantine.Trait
	parts, t.traits = partitionParts(t.traits)
	t.trials.end(parts, t.number)
}

// partitionParts separates the parts from the other traits.
func partitionParts(traits []quarantine.Trait) (parts, others []quarantine.Trait) {
	for _, x := range traits {
		if x.Kind == quarantine.Part {
			parts = append(parts, x)
		} else {
			others = append(others, x)
		}
	}
	return parts, others
}

// end ends the trial. If it is not known yet whether the server has crashed, the trial continues for trialSettleTime.
func (t *trial) end(settled bool) {
	if t == nil {
		return
	}
	if settled {
		t.trials.end(t.traits, t.number)
		return
	}
	t.trials.clock.AfterFunc(trialSettleTime, func() { t.trials.end(t.traits, t.number) })
}
