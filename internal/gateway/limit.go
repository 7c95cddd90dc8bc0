package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"rockcleat/internal/wire"
	"rockcleat/quota"
	"rockcleat/table"
)

// newLimiter returns the limiter that enforces organisations' rate limits together with the other gateways.
func (p *components) newLimiter(o Options) *quota.Limiter {
	s := o.Settings.Quota
	return quota.New(quota.Options{
		Self: o.Settings.ID, Clock: o.Clock, GrantClient: p.peers, Limit: p.config.limit, OnOwnerUnresponsive: p.requestLog.grantFailed,
		Tolerance: quota.Tolerance{Window: s.Window.Std(), Over: s.OverRatio, Slack: s.Slack},
	})
}

// limit returns the rate limit of an organisation and reports whether it has one.
func (c *configuration) limit(organisation string) (quota.Limit, bool) {
	r := c.current.Load()
	if r == nil {
		return quota.Limit{}, false
	}
	o, ok := r.Organisation(organisation)
	return quota.Limit{Rate: o.RateLimit.PerSecond, Burst: o.RateLimit.Burst}, ok && o.RateLimit.IsLimited()
}

func sortByKey(list []quota.Status) {
	slices.SortFunc(list, func(a, b quota.Status) int { return strings.Compare(a.Key, b.Key) })
}

// limitStatus returns this gateway's state of all rate limits, sorted by key.
func (p *components) limitStatus() wire.LimitList {
	list := wire.LimitList{Items: []quota.Status{}}
	r := p.config.routing()
	if r == nil {
		return list
	}
	for _, o := range r.Organisations() {
		if s, ok := p.limiter.Status(o.Name); ok {
			list.Items = append(list.Items, s)
		}
	}
	list.Servers = p.serverLimits.statuses()
	sortByKey(list.Items)
	sortByKey(list.Servers)
	return list
}

// retryAfterUnknownLimit is the Retry-After while the state of an organisation's rate limit is unknown. It is about the
// time until there is a new leader or a new owner grants quota.
const retryAfterUnknownLimit = 500 * time.Millisecond

// charge charges a request to its organisation's rate limit, or refuses it. It runs before the request takes a
// server, an admission or part of the model's demand, so that requests over the limit do not displace others.
func (p *proxy) charge(ctx context.Context, in *inbound) *refusal {
	if in.organisation.Name == "" {
		return nil
	}
	d := p.limiter.Take(ctx, in.organisation.Name, in.cost)
	if in.organisation.RateLimit.IsLimited() {
		p.requestLog.metrics.QuotaCharged(in.organisation.Name, d.Outcome.String(), in.cost)
	}
	switch d.Outcome {
	case quota.WithinLimit:
		in.charge = d.Charge
		return nil
	case quota.OverLimit:
		return withOrganisation(&refusal{
			status: http.StatusTooManyRequests, reason: "over the organisation's limit; not run", retryAfter: retryAfterLimit(d.RetryAfter),
		}, in.organisation)
	}
	return withOrganisation(notRun("the organisation's limit is not known now", retryAfterUnknownLimit), in.organisation)
}

// refund returns the charge of a request that has not run.
func (p *proxy) refund(f *forwarder) {
	amount := f.in.charge.Amount()
	if amount == 0 {
		return
	}
	p.limiter.Refund(f.in.charge)
	f.record.refunded = amount
	p.requestLog.metrics.QuotaRefunded(f.in.organisation.Name, f.record.outcome, amount)
}

// costOf returns the charge of a request against its organisation's rate limit, in the limit's unit.
func (p *proxy) costOf(in *inbound) float64 {
	if in.organisation.RateLimit.Unit != table.UnitTokens {
		return in.organisation.RateLimit.Cost(0)
	}
	prompt, output := p.tokenCounts(in)
	return in.organisation.RateLimit.Cost(prompt + output)
}
