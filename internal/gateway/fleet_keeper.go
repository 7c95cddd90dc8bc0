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

	"rockcleat/backend"
	"rockcleat/clock"
	"rockcleat/internal/placer"
	"rockcleat/internal/telemetry"
	"rockcleat/kv"
	"rockcleat/lease"
	"rockcleat/quota"
)

// keyGateways is the store key of the list of gateways, relative to the product's own prefix.
const keyGateways = "gateways"

const (
	// fleetStepInterval is the interval of fleetStore.step.
	fleetStepInterval = 100 * time.Millisecond
	// fleetSettleTime is how long a list must be unchanged before it is written. Gateways that start together thus
	// cause one write, and a store restored from a backup has by then received the operators' later writes again.
	fleetSettleTime = 3 * time.Second
	// fleetRetention is how long a gateway that left the leader's list stays on the stored one. It exceeds the time for
	// which such a gateway may use its share of rate limits, and avoids writes when gateways restart one after another.
	fleetRetention = quota.LeaderlessTTL + 2*time.Second
	// fleetLoadDelay is how long after its start a gateway without a list reads it from the store. A running leader
	// has sent its list by then.
	fleetLoadDelay = 150 * time.Millisecond
	// fleetLoadInterval is the time between two attempts to read the list.
	fleetLoadInterval = 500 * time.Millisecond
)

// A fleetStore persists the list of gateways and the software versions of the servers in the store, so that they survive
// the loss of all gateways. The leader writes them after a change. A gateway reads them if it found no leader after its
// start, or became the leader without having received a list.
//
// Without the stored list, gateways that restart together do not know of one another until one becomes the leader.
// Until then they refuse all requests of organisations with a rate limit, because the share used by the other
// gateways is unknown. Without the stored versions, they refuse to resume the streams of the time before the loss.
//
// Its state belongs to the goroutine that calls step.
type fleetStore struct {
	ctx      context.Context
	gateways *directory
	// onLoad applies a list read from the store.
	onLoad     func([]placer.Gateway)
	versions   *backend.VersionHistory
	store      Store
	keys       kv.PrefixStore
	lease      interface{ Held() (lease.Token, bool) }
	firstStart bool
	startedAt  time.Time
	clock      clock.Service
	log        *zap.Logger
	timeout    time.Duration

	// term is the leader token under which this gateway last wrote.
	term lease.Token
	// recent holds the time at which each gateway was last on the leader's list.
	recent map[placer.Gateway]time.Time
	// pending is the last result of current, unchanged since pendingSince. stored is what was last written to the store.
	pending      fleetState
	pendingSince time.Time
	stored       fleetState
	// synced reports whether this gateway knows the previous list of gateways, if there was one. nextLoad is the
	// earliest time of the next read from the store.
	synced   bool
	nextLoad time.Time
}

// A fleetState is what outlasts the gateways.
type fleetState struct {
	Gateways []placer.Gateway `json:"gateways"`
	// Versions holds the software versions that the servers of each service have run recently; nil if the leader does not
	// know all of them.
	Versions map[string][]string `json:"versions,omitempty"`
}

func (s fleetState) equals(o fleetState) bool {
	return slices.Equal(s.Gateways, o.Gateways) && maps.EqualFunc(s.Versions, o.Versions, slices.Equal)
}

// A storedFleet is the value stored under keyGateways.
type storedFleet struct {
	fleetState
	// Era is the era of the store at the time of the write. A list with the current era shows that writes lost when
	// the store was restored from a backup have been repeated.
	Era int64 `json:"era,omitempty"`
}

// step is called every fleetStepInterval. A new leader writes the list again, since the store may have lost it.
func (f *fleetStore) step(now time.Time) {
	token, leads := f.lease.Held()
	if leads && token != f.term {
		f.term, f.stored, f.pendingSince = token, fleetState{}, now
	}
	list := f.gateways.list()
	f.synced = f.synced || f.firstStart || len(list) > 0 && !leads
	switch {
	case !f.synced && !now.Before(f.nextLoad):
		f.load(now)
	case f.synced && leads:
		f.save(list, now)
	}
}

// save writes the leader's state, including recently listed gateways, once it has been unchanged for fleetSettleTime.
func (f *fleetStore) save(list []placer.Gateway, now time.Time) {
	state := f.current(list, now)
	if !state.equals(f.pending) {
		f.pending, f.pendingSince = state, now
	}
	if len(state.Gateways) == 0 || state.equals(f.stored) || now.Sub(f.pendingSince) < fleetSettleTime {
		return
	}
	if err := f.put(state); err != nil {
		f.log.Warn("writing the list of gateways failed", telemetry.Error(err))
		f.pendingSince = now
		return
	}
	f.stored = state
}

// current returns the state to be written.
func (f *fleetStore) current(list []placer.Gateway, now time.Time) fleetState {
	state := fleetState{Gateways: f.withRecent(list, now)}
	if versions, complete := f.versions.All(now); complete {
		state.Versions = versions
	}
	return state
}

// withRecent returns the list together with the gateways that were on it within fleetRetention, sorted by id.
func (f *fleetStore) withRecent(list []placer.Gateway, now time.Time) []placer.Gateway {
	for _, g := range list {
		f.recent[g] = now
	}
	maps.DeleteFunc(f.recent, func(_ placer.Gateway, at time.Time) bool { return now.Sub(at) > fleetRetention })
	all := slices.Collect(maps.Keys(f.recent))
	slices.SortFunc(all, func(a, b placer.Gateway) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (f *fleetStore) put(state fleetState) error {
	value, err := json.Marshal(storedFleet{fleetState: state, Era: kv.Revision(f.term).Era()})
	if err != nil {
		return eris.Wrap(err, "gateway: encode list of gateways")
	}
	ctx, cancel := context.WithTimeout(f.ctx, f.timeout)
	defer cancel()
	_, err = f.store.Put(ctx, kv.Write{Key: keyGateways, Value: value, Expect: kv.Any})
	return err
}

// load reads the list that the last leader wrote.
func (f *fleetStore) load(now time.Time) {
	if now.Sub(f.startedAt) < fleetLoadDelay {
		return
	}
	f.nextLoad = now.Add(fleetLoadInterval)
	stored, err := f.read(f.ctx)
	if err != nil {
		f.log.Warn("reading the list of gateways failed", telemetry.Error(err))
		return
	}
	f.synced = true
	if len(stored.Gateways) == 0 {
		return
	}
	if stored.Versions != nil {
		f.versions.Merge(stored.Versions, now)
	}
	f.log.Info("list of gateways read", zap.Int("count", len(stored.Gateways)))
	f.onLoad(stored.Gateways)
}

// read returns the stored list. It returns an empty one if there is none or it cannot be decoded.
func (f *fleetStore) read(ctx context.Context) (storedFleet, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	entries, _, err := f.keys.ListPrefix(ctx, keyGateways)
	if err != nil {
		return storedFleet{}, err
	}
	var stored storedFleet
	for _, e := range entries {
		if err := json.Unmarshal(e.Value, &stored); err != nil {
			f.log.Warn("stored list of gateways cannot be decoded, ignored", telemetry.Error(err))
			return storedFleet{}, nil
		}
	}
	return stored, nil
}

// isSettled reports whether a leader has written the list in the given era of the store. By then, writes lost when the
// store was restored from a backup have been repeated.
func (f *fleetStore) isSettled(ctx context.Context, era int64) (bool, error) {
	stored, err := f.read(ctx)
	return stored.Era == era, err
}
