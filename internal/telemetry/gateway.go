package telemetry

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// maxRoutes bounds the routes that figures are kept for; the rest count as "other".
const maxRoutes = 64

// otherRoute is the route of figures beyond maxRoutes.
const otherRoute = "other"

// gatewayBuckets are the bounds of the gateway's histograms, in seconds: fewer
// than elsewhere, since the process has little memory.
var gatewayBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15}

// GatewayMetrics are a gateway's instruments; docs/METRICS.md lists them.
type GatewayMetrics struct {
	handler  http.Handler
	requests metric.Int64Counter
	first    metric.Float64Histogram
	total    metric.Float64Histogram
	sends    metric.Int64Counter
	calls    metric.Int64Counter
	places   metric.Int64Counter
	// transfers and bytes are those of configurations.
	transfers metric.Int64Counter
	bytes     metric.Int64Counter
	ends      metric.Int64Counter
	// serverLimits counts the limits that servers named, changed and ended.
	serverLimits metric.Int64Counter
	// permits counts the requests for permits at servers with limits.
	permits metric.Int64Counter
	// limits counts requests by organisation and what its limit said, spent what they cost.
	limits metric.Int64Counter
	spent  metric.Float64Counter

	mu     sync.Mutex
	routes map[string]bool
	sets   map[attributeKey]metric.MeasurementOption
}

// attributeKey names a set of attributes that is made once.
type attributeKey struct{ a, b string }

// NewGatewayMetrics returns instruments whose values Handler shows.
func NewGatewayMetrics() (*GatewayMetrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: prometheus exporter")
	}
	m := &GatewayMetrics{
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}),
		routes:  make(map[string]bool), sets: make(map[attributeKey]metric.MeasurementOption),
	}
	b := &builder{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("rockcleat")}
	m.requests = b.counter("rockcleat.gateway.requests", "Requests by route and outcome.")
	m.first = m.histogram(b, "rockcleat.gateway.first_byte", "Time from a request's arrival to the first byte of its answer.")
	m.total = m.histogram(b, "rockcleat.gateway.duration", "Time from a request's arrival to the end of its answer.")
	m.sends = b.counter("rockcleat.gateway.sends", "Requests sent to backend servers.")
	m.calls = b.counter("rockcleat.gateway.store_calls", "Calls to the platform's store by kind.")
	m.places = b.counter("rockcleat.gateway.places", "Places at engines asked of other gateways, by result.")
	m.transfers = b.counter("rockcleat.gateway.config_transfers", "Transfers of the configuration, by origin and result.")
	m.bytes = b.counter("rockcleat.gateway.config_bytes", "Bytes of configurations received, as they were sent, by origin.")
	m.ends = b.counter("rockcleat.gateway.server_ends", "Backend servers that ended under requests, by service.")
	m.serverLimits = b.counter("rockcleat.gateway.server_limits", "Limits that backend servers named for themselves, by what became of them.")
	m.permits = b.counter("rockcleat.gateway.permits", "Permits asked for sends to backend servers that named limits, by result.")
	m.limits = b.counter("rockcleat.gateway.limits", "Requests of organisations with a limit, by what it said.")
	spent, err := b.meter.Float64Counter("rockcleat.gateway.spent", metric.WithDescription("What requests inside limits have cost, in the limit's unit."))
	b.keep(err)
	m.spent = spent
	return m, b.err
}

func (m *GatewayMetrics) histogram(b *builder, name, text string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(text), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(gatewayBuckets...))
	b.keep(err)
	return h
}

// Handler returns the handler that shows the figures as text.
func (m *GatewayMetrics) Handler() http.Handler { return m.handler }

// Ended counts a request of a route by its outcome, with the times to its first
// byte and its end in seconds; first is 0 if there was no byte.
func (m *GatewayMetrics) Ended(route, outcome string, first, total float64) {
	ctx := context.Background()
	route = m.bounded(route)
	byOutcome := m.set("route", route, "outcome", outcome)
	m.requests.Add(ctx, 1, byOutcome)
	m.total.Record(ctx, total, byOutcome)
	if first > 0 {
		m.first.Record(ctx, first, m.set("route", route, "", ""))
	}
}

// Sent counts a send to a backend server; retry says that it was not the first.
func (m *GatewayMetrics) Sent(service string, retry bool) {
	kind := "first"
	if retry {
		kind = "repeat"
	}
	m.sends.Add(context.Background(), 1, m.set("service", service, "kind", kind))
}

// Admissions counts what other gateways answered when they were asked for admission at
// their engines: granted, denied, or nothing.
func (m *GatewayMetrics) Admissions(granted, denied, silent int) {
	ctx := context.Background()
	m.places.Add(ctx, int64(granted), m.set("result", "granted", "", ""))
	m.places.Add(ctx, int64(denied), m.set("result", "denied", "", ""))
	m.places.Add(ctx, int64(silent), m.set("result", "silent", "", ""))
}

// ConfigTransfer counts a transfer of the configuration from the store or another gateway, with
// its bytes; err says that it failed.
func (m *GatewayMetrics) ConfigTransfer(from string, bytes int, err error) {
	ctx := context.Background()
	result := "complete"
	if err != nil {
		result = "failed"
	}
	m.transfers.Add(ctx, 1, m.set("from", from, "result", result))
	m.bytes.Add(ctx, int64(bytes), m.set("from", from, "", ""))
}

// ServerEnded counts the end of a backend server of a service under requests.
func (m *GatewayMetrics) ServerEnded(service string) {
	m.ends.Add(context.Background(), 1, m.set("service", service, "", ""))
}

// ServerLimit counts a limit that a backend server has named, changed or ended, by state.
func (m *GatewayMetrics) ServerLimit(state string) {
	m.serverLimits.Add(context.Background(), 1, m.set("state", state, "", ""))
}

// Permit counts a request for a permit at a backend server with a limit, by what it brought.
func (m *GatewayMetrics) Permit(outcome string) {
	m.permits.Add(context.Background(), 1, m.set("outcome", outcome, "", ""))
}

// Charged counts a request that was charged to an organisation's limit, by what that said, with its cost in the
// limit's unit.
func (m *GatewayMetrics) Charged(organisation, outcome string, cost float64) {
	ctx := context.Background()
	organisation = m.bounded(organisation)
	m.limits.Add(ctx, 1, m.set("customer", organisation, "outcome", outcome))
	if outcome == "inside" {
		m.spent.Add(ctx, cost, m.set("customer", organisation, "", ""))
	}
}

// StoreCall counts a call to the platform's store.
func (m *GatewayMetrics) StoreCall(kind string) {
	m.calls.Add(context.Background(), 1, m.set("kind", kind, "", ""))
}

// bounded returns the route, or otherRoute if there are too many.
func (m *GatewayMetrics) bounded(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.routes[route] {
		return route
	}
	if len(m.routes) >= maxRoutes {
		return otherRoute
	}
	m.routes[route] = true
	return route
}

// set returns one or two attributes, made once.
func (m *GatewayMetrics) set(name, value, name2, value2 string) metric.MeasurementOption {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := attributeKey{a: name + "=" + value, b: name2 + "=" + value2}
	if s, ok := m.sets[key]; ok {
		return s
	}
	list := []attribute.KeyValue{attribute.String(name, value)}
	if name2 != "" {
		list = append(list, attribute.String(name2, value2))
	}
	s := metric.WithAttributeSet(attribute.NewSet(list...))
	m.sets[key] = s
	return s
}
