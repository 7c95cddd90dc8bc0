package gateway

import (
	"sync"
	"time"

	"rockcleat/clock"
	"rockcleat/internal/config"
	"rockcleat/retry"
	"rockcleat/table"
)

// retryReserve is the part of the retry budget that is used, since gateways count at
// slightly different times.
const retryReserve = 0.8

// retryBudgets hold the budget of retries of each service, which all gateways share: each
// uses its own first tries and its part of the fixed number. It is safe for concurrent use.
type retryBudgets struct {
	clock    clock.Service
	gateways *directory

	mu        sync.Mutex
	settings  config.Retry
	byService map[string]*retry.Window
	// firstStart says that the gateway had no former life; countsFrom is when its budget is over.
	firstStart bool
	countsFrom time.Time
	// most is the largest number of gateways since mostAt.
	most   int
	mostAt time.Time
}

// newRetryBudgets returns the budgets of a gateway; firstStart says that it had no former life.
func newRetryBudgets(s config.Retry, firstStart bool, c clock.Service, gateways *directory) *retryBudgets {
	b := &retryBudgets{
		settings: s, clock: c, gateways: gateways, byService: make(map[string]*retry.Window),
		firstStart: firstStart, countsFrom: c.Now(),
	}
	if !firstStart {
		b.countsFrom = b.countsFrom.Add(s.Window.Std())
	}
	return b
}

// countMemory is for how many windows the largest number of gateways counts: those that are cut off,
// or that a new leader has not heard of, still use their part.
const countMemory = 6

// share returns the part of the fixed number that is this gateway's own, 0 to 1: none in the first
// window after a restart, since it does not know what it used before, nor as long as it does not know how
// many gateways there are. A third of 103 gateways that restarted together and took six for their number
// sent 2,125 requests again within ten seconds, where 1,877 were allowed.
func (b *retryBudgets) share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.settings.Window.Std()
	if now.Before(b.countsFrom) || !b.firstStart && !b.gateways.isListed() {
		return 0
	}
	if n := b.gateways.count(); n >= b.most || now.Sub(b.mostAt) > countMemory*window {
		b.most, b.mostAt = n, now
	}
	return 1 / float64(b.most)
}

// set sets the settings, forgets all counts if they differ, and reports whether they do.
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

// of returns the budget of a service.
func (b *retryBudgets) of(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.byService[service]
	if w == nil {
		w = &retry.Window{
			Length: b.settings.Window.Std(),
			Ratio:  b.settings.Ratio * retryReserve,
			Fixed:  b.settings.Fixed * retryReserve,
		}
		b.byService[service] = w
	}
	return w
}

// first counts the first try of a request.
func (b *retryBudgets) first(in *inbound) { b.of(in.service.Name).First(in.arrived) }

// take counts a retry and reports whether the budget has room for it.
func (b *retryBudgets) take(in *inbound) bool {
	now := b.clock.Now()
	return b.of(in.service.Name).Allow(now, b.share(now))
}

// mayRetry reports whether the request may be sent to a further server after one that may
// have run it: its route must allow a further run, and what the caller has of the answer
// must fit a second one.
func (f *forwarder) mayRetry() bool {
	if f.record.runs >= f.in.route.Attempts {
		return false
	}
	switch f.in.route.Retry {
	case table.RetryWhole:
		return !f.answering.Load()
	case table.RetryResume:
		return true
	}
	return false
}
