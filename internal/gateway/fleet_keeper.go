package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/placer"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/quota"
)

// keyGateways is where the store has the list of gateways, among the product's own keys.
const keyGateways = "gateways"

// Pace of keeping the list of gateways.
const (
	// fleetKeepInterval is the time between two looks at the list.
	fleetKeepInterval = 100 * time.Millisecond
	// fleetSettleTime is for how long a list must be the same before it is written, so that gateways which
	// start together cost one write, and a store that came back from a copy has again what operators wrote.
	fleetSettleTime = 3 * time.Second
	// fleetMemory is for how long a gateway that is off the leader's list stays on the one in the store: as long
	// as it may spend its part of limits, and somewhat longer. Gateways that restart in turn cost no writes.
	fleetMemory = quota.AloneTime + 2*time.Second
	// fleetLoadTime is how long after its start a gateway that has no list reads it from the store: a leader
	// that is there has sent it by then.
	fleetLoadTime = 150 * time.Millisecond
	// fleetLoadPause is the time between two tries to read it.
	fleetLoadPause = 500 * time.Millisecond
)

// A fleetKeeper keeps the list of gateways in the store, so that it outlasts the loss of all of them. The leader
// writes it when it has changed; a gateway reads it that has started anew and has heard of no leader, or leads
// without having heard of one.
//
// Without it gateways that restart together know nothing of each other until one leads, two to three seconds
// later, and refuse all requests of organisations with a limit: no one can tell what the others let run. After
// the loss of all 24 of a fleet it was 1,285 to 2,069 requests each time (lines of three such losses).
//
// Its state belongs to the goroutine that calls step.
type fleetKeeper struct {
	ctx      context.Context
	gateways *directory
	// onLoad takes over a list that was read.
	onLoad     func([]placer.Gateway)
	store      Store
	keys       kv.PrefixStore
	lease      interface{ Held() (lease.Token, bool) }
	firstStart bool
	startedAt  time.Time
	clock      clock.Service
	log        *zap.Logger
	timeout    time.Duration

	// term is the token under which this gateway wrote last.
	term lease.Token
	// recent is when each gateway was on the leader's list last.
	recent map[placer.Gateway]time.Time
	// seen is the list of those at the last look, and since when; stored is the one in the store.
	seen      []placer.Gateway
	seenSince time.Time
	stored    []placer.Gateway
	// informed says that this gateway knows who was there before it; nextLoad is when the store may be read.
	informed bool
	nextLoad time.Time
}

// A storedFleet is the value of keyGateways.
type storedFleet struct {
	Gateways []placer.Gateway `json:"gateways"`
	// Era is that of the store when this was written: by then it had again what was written before it came back
	// from a copy, if it did.
	Era int64 `json:"era,omitempty"`
}

// step is called every fleetKeepInterval. In a new term everything is written anew: the store may have lost it.
func (k *fleetKeeper) step(now time.Time) {
	token, leads := k.lease.Held()
	if leads && token != k.term {
		k.term, k.stored, k.seenSince = token, nil, now
	}
	list := k.gateways.list()
	k.informed = k.informed || k.firstStart || len(list) > 0 && !leads
	switch {
	case !k.informed && !now.Before(k.nextLoad):
		k.load(now)
	case k.informed && leads:
		k.save(list, now)
	}
}

// save writes the leader's list, with those that were on it lately, once it has stayed the same for a while.
func (k *fleetKeeper) save(list []placer.Gateway, now time.Time) {
	list = k.withRecent(list, now)
	if !slices.Equal(list, k.seen) {
		k.seen, k.seenSince = list, now
	}
	if len(list) == 0 || slices.Equal(list, k.stored) || now.Sub(k.seenSince) < fleetSettleTime {
		return
	}
	if err := k.put(list); err != nil {
		k.log.Warn("list of gateways not written", telemetry.Error(err))
		k.seenSince = now
		return
	}
	k.stored = list
}

// withRecent returns a list with the gateways that were on it lately, in the order of their ids.
func (k *fleetKeeper) withRecent(list []placer.Gateway, now time.Time) []placer.Gateway {
	for _, g := range list {
		k.recent[g] = now
	}
	maps.DeleteFunc(k.recent, func(_ placer.Gateway, at time.Time) bool { return now.Sub(at) > fleetMemory })
	all := slices.Collect(maps.Keys(k.recent))
	slices.SortFunc(all, func(a, b placer.Gateway) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (k *fleetKeeper) put(list []placer.Gateway) error {
	value, err := json.Marshal(storedFleet{Gateways: list, Era: kv.Revision(k.term).Era()})
	if err != nil {
		return eris.Wrap(err, "gateway: encode list of gateways")
	}
	ctx, cancel := context.WithTimeout(k.ctx, k.timeout)
	defer cancel()
	_, err = k.store.Put(ctx, kv.Write{Key: keyGateways, Value: value, Expect: kv.Any})
	return err
}

// load reads the list as the last leader wrote it.
func (k *fleetKeeper) load(now time.Time) {
	if now.Sub(k.startedAt) < fleetLoadTime {
		return
	}
	k.nextLoad = now.Add(fleetLoadPause)
	stored, err := k.read(k.ctx)
	if err != nil {
		k.log.Warn("list of gateways not read", telemetry.Error(err))
		return
	}
	k.informed = true
	if len(stored.Gateways) == 0 {
		return
	}
	k.log.Info("list of gateways read", zap.Int("count", len(stored.Gateways)))
	k.onLoad(stored.Gateways)
}

// read reads what the store has; nothing if it has nothing that can be read.
func (k *fleetKeeper) read(ctx context.Context) (storedFleet, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	entries, _, err := k.keys.ListPrefix(ctx, keyGateways)
	if err != nil {
		return storedFleet{}, err
	}
	var stored storedFleet
	for _, e := range entries {
		if err := json.Unmarshal(e.Value, &stored); err != nil {
			k.log.Warn("list of gateways not readable, ignored", telemetry.Error(err))
			return storedFleet{}, nil
		}
	}
	return stored, nil
}

// isSettled reports whether a leader has written in an era of the store, when that had again what was written
// before it came back from a copy.
func (k *fleetKeeper) isSettled(ctx context.Context, era int64) (bool, error) {
	stored, err := k.read(ctx)
	return stored.Era == era, err
}
