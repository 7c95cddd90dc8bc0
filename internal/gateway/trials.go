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
	// them, which show which part makes servers crash. A trial waits as long for others at its server.
	jointTrialDelay = 500 * time.Millisecond
	// trialOwners is the number of gateways that are asked for a trial if the first one does not reply.
	trialOwners = 2
)

// A trialClaim is what only one trial at a time may have: a trait or, if Server is set, a server instance.
type trialClaim struct {
	Key    quarantine.Key `json:"key"`
	Server string         `json:"server,omitempty"`
}

// traitClaims returns the claims to traits.
func traitClaims(traits []quarantine.Trait) []trialClaim {
	claims := make([]trialClaim, len(traits))
	for i, x := range traits {
		claims[i] = trialClaim{Key: x.Key}
	}
	return claims
}

// ownerKey returns the key by which the owner of the claim is chosen.
func (c trialClaim) ownerKey() string {
	if c.Server != "" {
		return c.Server
	}
	return c.Key.String()
}

// A trialRequest asks the owner of a claim for it, or tells the owner that the sender no longer needs it.
type trialRequest struct {
	Gateway string `json:"gateway"`
	trialClaim
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
// If trials of two parts ran at one server when it crashes, it would not be known which part is the cause. A trial of parts
// therefore claims its server too.
//
// The owner of a claim, a gateway chosen by a hash, grants it. A gateway that reaches no owner grants its own claims. It is
// safe for concurrent use.
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
	// active holds the claims of this gateway's trials.
	active map[trialClaim]struct{}
	// refusedUntil holds the claims that their owner has refused, until it is asked again.
	refusedUntil map[trialClaim]time.Time
	// granted holds the claims that this gateway has granted as the owner.
	granted map[trialClaim]trialGrant
}

// A trialGrant is a claim that a gateway has until a time.
type trialGrant struct {
	gateway string
	trial   uint64
	until   time.Time
}

func newTrials(ctx context.Context, self string, table *quarantine.Table, c clock.Service) *trials {
	return &trials{
		ctx: ctx, self: self, table: table, clock: c, active: make(map[trialClaim]struct{}),
		refusedUntil: make(map[trialClaim]time.Time), granted: make(map[trialClaim]trialGrant),
	}
}

// isBusy reports whether a trial of any of the traits cannot begin now, as far as this gateway knows.
func (t *trials) isBusy(traits []quarantine.Trait) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isBusyLocked(traitClaims(traits))
}

// isBusyLocked reports whether one of the claims cannot be had now. t.mu must be held.
func (t *trials) isBusyLocked(claims []trialClaim) bool {
	now := t.clock.Now()
	return slices.ContainsFunc(claims, func(c trialClaim) bool {
		_, active := t.active[c]
		return active || now.Before(t.refusedUntil[c])
	})
}

// begin begins a trial of the given traits at a server. ok is false if a trial of one of them is running, or another trial
// at the server. A request that must not wait for the latter is sent nevertheless, but tests a part only if trials are all
// that its quarantine lacks: another part may be what makes the server crash.
func (t *trials) begin(ctx context.Context, traits []quarantine.Trait, server string, mustNotWait bool) (begun *trial, ok bool) {
	begun = &trial{trials: t, number: t.nextNumber(), tested: t.tested(traits)}
	if parts, others := partitionParts(begun.tested); len(parts) > 0 {
		switch {
		case begun.claim(ctx, trialClaim{Server: server}):
			begun.server = server
		case !mustNotWait:
			return nil, false
		case !t.table.LacksOnlyTrials(parts[0].Key):
			begun.tested = others
		}
	}
	if !begun.claim(ctx, traitClaims(traits)...) {
		begun.end(true)
		return nil, false
	}
	begun.traits = traits
	return begun, true
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

// nextNumber returns the number of the next trial of this gateway.
func (t *trials) nextNumber() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begun++
	return t.begun
}

// activate marks the claims as those of a trial of this gateway, unless one of them cannot be had.
func (t *trials) activate(claims []trialClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isBusyLocked(claims) {
		return false
	}
	for _, c := range claims {
		t.active[c] = struct{}{}
	}
	return true
}

func (t *trials) deactivate(claims []trialClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range claims {
		delete(t.active, c)
	}
}

// refused records that the owner of a claim has refused it.
func (t *trials) refused(c trialClaim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusedUntil[c] = t.clock.Now().Add(t.retryDelay())
}

// call sends a request to the owner of its claim. ok is false if no owner replies.
func (t *trials) call(ctx context.Context, r trialRequest) (reply trialReply, ok bool) {
	for _, owner := range t.owners(r.trialClaim) {
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

// owners returns the gateways to ask for a claim, in order.
func (t *trials) owners(c trialClaim) []string {
	ids := t.gateways()
	if len(ids) == 0 {
		return []string{t.self}
	}
	return rendezvous.Top(ids, rendezvous.Key(c.ownerKey()), trialOwners)
}

// handle handles a request as the owner.
func (t *trials) handle(r trialRequest) trialReply {
	if r.Ended {
		t.revoke(r)
	}
	if r.Server != "" {
		return trialReply{Granted: !r.Ended && t.grant(r)}
	}
	if len(r.Record.Servers) > 0 || r.Record.Generation > 0 {
		t.table.Merge([]quarantine.Record{r.Record})
	}
	x := quarantine.Trait{Key: r.Key}
	var reply trialReply
	if _, _, quarantined := t.table.Quarantine(x); !quarantined && !r.Ended {
		reply.Granted = len(t.table.Suspects(x)) == 0 || t.grant(r)
	}
	reply.Record, _ = t.table.Record(r.Key)
	return reply
}

// grant grants a claim unless another gateway has it.
func (t *trials) grant(r trialRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if g, ok := t.granted[r.trialClaim]; ok && g.gateway != r.Gateway && now.Before(g.until) {
		return false
	}
	t.granted[r.trialClaim] = trialGrant{gateway: r.Gateway, trial: r.Trial, until: now.Add(trialTimeout)}
	return true
}

// revoke ends the grant of a trial.
func (t *trials) revoke(r trialRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.granted[r.trialClaim]; g.gateway == r.Gateway && g.trial == r.Trial {
		delete(t.granted, r.trialClaim)
	}
}

// expire removes refusals and grants that are over.
func (t *trials) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.refusedUntil, func(_ trialClaim, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(t.granted, func(_ trialClaim, g trialGrant) bool { return !now.Before(g.until) })
}
