package gateway

import (
	"sync"

	"rockcleat/clock"
	"rockcleat/internal/config"
	"rockcleat/retry"
	"rockcleat/table"
)

// retryReserve is the part of the retry budget that is used, since gateways count at
// slightly different times. Chosen with the first path (docs/MEASUREMENTS.md, P1).
const retryReserve = 0.8

// retryBudgets hold the budget of retries of each service, which all gateways share: each
// uses its own first tries and its part of the fixed number. It is safe for concurrent use.
type retryBudgets struct {
	clock    clock.Service
	gateways *directory

	mu        sync.Mutex
	settings  config.Retry
	byService map[string]*retry.Window
}

func newRetryBudgets(s config.Retry, c clock.Service, gateways *directory) *retryBudgets {
	return &retryBudgets{settings: s, clock: c, gateways: gateways, byService: make(map[string]*retry.Window)}
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
	share := 1 / float64(b.gateways.count())
	return b.of(in.service.Name).Allow(b.clock.Now(), share)
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
