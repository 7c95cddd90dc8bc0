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

// newLimiter returns what keeps the limits of organisations together with the other gateways.
func (p *parts) newLimiter(o Options) *quota.Limiter {
	s := o.Settings.Quota
	return quota.New(quota.Options{
		Self: o.Settings.ID, Clock: o.Clock, Asker: p.peers, Limit: p.config.limit, OnOwnerSilent: p.lines.limitOwnerSilent,
		Tolerance: quota.Tolerance{Window: s.Window.Std(), Over: s.Over, Slack: s.Slack},
	})
}

// limit returns the limit of an organisation, as a quota.Limiter needs it.
func (c *configuration) limit(organisation string) (quota.Limit, bool) {
	r := c.current.Load()
	if r == nil {
		return quota.Limit{}, false
	}
	o, ok := r.Organisation(organisation)
	return quota.Limit{Rate: o.Limit.PerSecond, Burst: o.Limit.Burst}, ok && o.Limit.IsLimited()
}

// sortByKey sorts limits by whose they are.
func sortByKey(list []quota.Status) {
	slices.SortFunc(list, func(a, b quota.Status) int { return strings.Compare(a.Key, b.Key) })
}

// limitStatus returns what this gateway knows of all limits, in the order of the names of whose they are.
func (p *parts) limitStatus() wire.LimitList {
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

// retryUnknownLimit is when a caller should come back while nobody can say whether its organisation is inside
// its limit: about what it takes until another gateway leads or grants.
const retryUnknownLimit = 500 * time.Millisecond

// charge counts a request against its organisation's limit, or refuses it before it costs a server, an
// admission or demand of its model: what is over its limit must not push others aside.
func (p *proxy) charge(ctx context.Context, in *inbound) *refusal {
	if in.organisation.Name == "" {
		return nil
	}
	d := p.limiter.Take(ctx, in.organisation.Name, in.cost)
	if in.organisation.Limit.IsLimited() {
		p.lines.metrics.Charged(in.organisation.Name, d.Outcome.String(), in.cost)
	}
	switch d.Outcome {
	case quota.Inside:
		return nil
	case quota.Over:
		return withOrganisation(&refusal{
			status: http.StatusTooManyRequests, reason: "over the organisation's limit; not run", retryAfter: retryAfterLimit(d.RetryAfter),
		}, in.organisation)
	}
	return withOrganisation(notRun("the organisation's limit is not known now", retryUnknownLimit), in.organisation)
}

// refund gives back what a request was charged that has not run.
func (p *proxy) refund(in *inbound) {
	if in.organisation.Name != "" {
		p.limiter.GiveBack(in.organisation.Name, in.cost)
	}
}

// costOf returns what a request counts against its organisation's limit.
func (p *proxy) costOf(in *inbound) float64 {
	if in.organisation.Limit.Unit != table.UnitTokens {
		return in.organisation.Limit.Cost(0)
	}
	prompt, output := p.tokenCounts(in)
	return in.organisation.Limit.Cost(prompt + output)
}
