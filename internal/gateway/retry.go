package gateway

import (
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/config"
	"rockcleat/retry"
	"rockcleat/table"
)

// retryBudgetFraction is the fraction of the retry budget that is used. The rest covers clock differences between
// gateways.
const retryBudgetFraction = 0.8

// retryBudgets holds the retry budget of each service. All gateways share the budgets: each may use a ratio of its own
// first sends and its share of the fixed number. It is safe for concurrent use.
type retryBudgets struct {
	clock    clock.Service
	gateways *directory

	mu        sync.Mutex
	settings  config.Retry
	byService map[string]*retry.Window
	// firstStart reports whether the whole system is being started for the first time. shareFrom is the end of the first window
	// after a restart, before which the share of the fixed number is 0.
	firstStart bool
	shareFrom  time.Time
	// maxGateways is the largest number of gateways observed since maxGatewaysAt.
	maxGateways   int
	maxGatewaysAt time.Time
}

// newRetryBudgets returns the budgets of a gateway. firstStart reports whether no gateway has used a budget before.
func newRetryBudgets(s config.Retry, firstStart bool, c clock.Service, gateways *directory) *retryBudgets {
	b := &retryBudgets{
		settings: s, clock: c, gateways: gateways, byService: make(map[string]*retry.Window),
		firstStart: firstStart, shareFrom: c.Now(),
	}
	if !firstStart {
		b.shareFrom = b.shareFrom.Add(s.Window.Std())
	}
	return b
}

// countWindows is the number of windows for which the largest number of gateways is remembered. Gateways that are cut
// off, or not known to a new leader, still use their share.
const countWindows = 6

// share returns this gateway's share of the fixed number of retries, from 0 to 1. After a restart it is 0 in the first
// window, because earlier retries are not known, and until the list of gateways has been received: a third of 103
// gateways that restarted together and assumed six exceeded the budget.
func (b *retryBudgets) share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.settings.Window.Std()
	if now.Before(b.shareFrom) || !b.firstStart && !b.gateways.isListed() {
		return 0
	}
	if n := b.gateways.count(); n >= b.maxGateways || now.Sub(b.maxGatewaysAt) > countWindows*window {
		b.maxGateways, b.maxGatewaysAt = n, now
	}
	return 1 / float64(b.maxGateways)
}

// set applies new settings and reports whether they differ. If they do, all counts are reset.
func (b *retryBudgets) set(s config.Retry) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s == b.settings {
		return false
	}
	b.settings = s
	clear(b.byService)
	return true
}

// budget returns the budget of a service.
func (b *retryBudgets) budget(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = &retry.Window{
			Length:       b.settings.Window.Std(),
			Ratio:        b.settings.Ratio * retryBudgetFraction,
			FixedRetries: b.settings.Fixed * retryBudgetFraction,
		}
		b.byService[service] = w
	}
	return w
}

// countFirst counts the first send of a request.
func (b *retryBudgets) countFirst(in *inbound) {
	b.budget(in.service.Name).RecordFirstAttempt(in.arrived)
}

// take charges a retry to the budget, and reports whether the budget allows it.
func (b *retryBudgets) take(in *inbound) bool {
	now := b.clock.Now()
	return b.budget(in.service.Name).Allow(now, b.share(now))
}

// mayRetry reports whether the request may be sent again after a send that may have run. The route must allow another
// run, and the rest of the response must be available: either nothing was sent to the caller, or the stream can resume.
func (f *forwarder) mayRetry() bool {
	if f.record.runs >= f.in.route.MaxAttempts {
		return false
	}
	switch f.in.route.Retry {
	case table.RetryIdempotent:
		return !f.headerSent.Load()
	case table.RetryResume:
		return true
	}
	return false
}
