package telemetry

import (
	"context"
	"math"
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

// maxLabelValues bounds the number of distinct route and organisation label values; further ones count as
// otherLabel.
const maxLabelValues = 64

const otherLabel = "other"

// gatewayBuckets are the bucket bounds of the gateway's histograms, in seconds. There are fewer than in
// secondsBuckets, to save memory.
var gatewayBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 15}

// GatewayMetrics are the instruments of a gateway; docs/METRICS.md lists them. They are safe for concurrent use.
type GatewayMetrics struct {
	handler    http.Handler
	requests   metric.Int64Counter
	firstByte  metric.Float64Histogram
	duration   metric.Float64Histogram
	sends      metric.Int64Counter
	storeCalls metric.Int64Counter
	admissions metric.Int64Counter
	// queueWait holds the waits of requests in servers' queues, queueWaitError how far they were from the estimates.
	queueWait      metric.Float64Histogram
	queueWaitError metric.Float64Histogram
	// configTransfers and configBytes count the transfers of configurations and their bytes.
	configTransfers metric.Int64Counter
	configBytes     metric.Int64Counter
	serverCrashes   metric.Int64Counter
	// foreignResponses counts the responses of servers that were not those of the requests for which they came.
	foreignResponses metric.Int64Counter
	// brokenResponses counts the responses of servers that were malformed or broken off.
	brokenResponses metric.Int64Counter
	// serverLimits counts the limits that servers announced, changed and ended.
	serverLimits metric.Int64Counter
	// serverDepartures counts the servers that announced that they are leaving.
	serverDepartures metric.Int64Counter
	// serverSpeeds counts the servers whose speed became distinct from the median, or the median again.
	serverSpeeds metric.Int64Counter
	// serverPauses counts the changes of pauses that servers asked for.
	serverPauses metric.Int64Counter
	// streamsResumed counts the streams that callers resume, originsNotSent the records of streams that did not reach
	// another gateway.
	streamsResumed metric.Int64Counter
	originsNotSent metric.Int64Counter
	// resignations counts the leases that the gateway gave up since an engine had rejected its token.
	resignations metric.Int64Counter
	// permits counts the requests for permits at servers with limits.
	permits metric.Int64Counter
	// processorRefusals counts the requests refused because processor time is short.
	processorRefusals metric.Int64Counter
	// connections counts callers' new connections by what became of them. pending is the highest number of pending
	// requests in the last second, processorTime the processor time that the process has used.
	connections metric.Int64Counter
	// headersRefused counts requests that were refused before their header was complete, by reason.
	headersRefused metric.Int64Counter
	// memoryHeld is the memory that callers' requests hold, by account.
	memoryHeld    metric.Int64Gauge
	pending       metric.Int64Gauge
	processorTime metric.Float64Counter
	// charges counts requests by organisation and outcome of the check against its limit; spent sums the cost
	// of those within it, and refunded the cost that was returned, by outcome of the request.
	charges  metric.Int64Counter
	spent    metric.Float64Counter
	refunded metric.Float64Counter

	mu            sync.Mutex
	labelValues   map[string]bool
	attributeSets map[attributeKey]metric.MeasurementOption
}

// An attributeKey identifies a cached set of one or two attributes.
type attributeKey struct{ first, second string }

// NewGatewayMetrics returns a gateway's instruments; Handler exposes their values.
func NewGatewayMetrics() (*GatewayMetrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: create Prometheus exporter")
	}
	m := &GatewayMetrics{
		handler:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}),
		labelValues: make(map[string]bool), attributeSets: make(map[attributeKey]metric.MeasurementOption),
	}
	b := &instrumentBuilder{meter: sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter("rockcleat")}
	m.requests = b.counter("rockcleat.gateway.requests", "Requests by route and outcome.")
	m.firstByte = m.histogram(b, "rockcleat.gateway.first_byte", "Time from a request's arrival to the first byte of its answer.")
	m.duration = m.histogram(b, "rockcleat.gateway.duration", "Time from a request's arrival to the end of its answer.")
	m.sends = b.counter("rockcleat.gateway.sends", "Requests sent to backend servers.")
	m.storeCalls = b.counter("rockcleat.gateway.store_calls", "Calls to the platform's store by kind.")
	m.admissions = b.counter("rockcleat.gateway.places", "Places at engines asked of other gateways, by result.")
	m.queueWait = m.histogram(b, "rockcleat.gateway.queue_wait", "Time that requests waited in the queues of the servers that this gateway owns.")
	m.queueWaitError = m.histogram(b, "rockcleat.gateway.queue_wait_error", "Difference between the estimated and the actual wait of these requests.")
	m.configTransfers = b.counter("rockcleat.gateway.config_transfers", "Transfers of the configuration, by origin and result.")
	m.configBytes = b.counter("rockcleat.gateway.config_bytes", "Bytes of configurations received, as they were sent, by origin.")
	m.brokenResponses = b.counter("rockcleat.gateway.broken_responses", "Responses of backend servers that were malformed or broken off, by kind.")
	m.foreignResponses = b.counter("rockcleat.gateway.foreign_responses", "Responses of backend servers to another request than the one for which they came, by kind.")
	m.serverCrashes = b.counter("rockcleat.gateway.server_ends", "Backend servers that ended under requests, by service.")
	m.serverLimits = b.counter("rockcleat.gateway.server_limits", "Limits that backend servers named for themselves, by what became of them.")
	m.serverDepartures = b.counter("rockcleat.gateway.server_departures", "Backend servers that announced that they are leaving, by origin of the announcement.")
	m.streamsResumed = b.counter("rockcleat.gateway.streams_resumed", "Streams that callers resume, by the source of their origin.")
	m.originsNotSent = b.counter("rockcleat.gateway.origins_not_sent", "Records of streams that could not be sent to another gateway.")
	m.serverSpeeds = b.counter("rockcleat.gateway.server_speeds", "Backend servers whose speed became distinct from the median of their service, or the median again, by state.")
	m.serverPauses = b.counter("rockcleat.gateway.server_pauses", "Pauses that backend servers asked for in refusals, by state.")
	m.resignations = b.counter("rockcleat.gateway.resignations", "Leases given up since a backend server had rejected their token.")
	m.permits = b.counter("rockcleat.gateway.permits", "Permits asked for sends to backend servers that named limits, by result.")
	m.processorRefusals = b.counter("rockcleat.gateway.processor_refusals", "Requests refused while the gateway was short of processor time.")
	m.connections = b.counter("rockcleat.gateway.connections", "New connections of callers, by what became of them.")
	m.headersRefused = b.counter("rockcleat.gateway.headers.refused", "Requests refused before their header was complete, by reason.")
	m.charges = b.counter("rockcleat.gateway.limits", "Requests of organisations with a limit, by what it said.")
	m.spent = b.sum("rockcleat.gateway.spent", "What requests inside limits have cost, in the limit's unit.")
	m.refunded = b.sum("rockcleat.gateway.refunded", "What requests inside limits have cost that was returned because they had not run, in the limit's unit, by outcome of the request.")
	m.pending, err = b.meter.Int64Gauge("rockcleat.gateway.pending_requests", metric.WithDescription("Highest number of requests in the last second that needed work of the gateway before they could be handed on."))
	b.recordError(err)
	m.memoryHeld, err = b.meter.Int64Gauge("rockcleat.gateway.memory_held", metric.WithDescription("Memory that callers' requests hold, by account."), metric.WithUnit("By"))
	b.recordError(err)
	m.processorTime = b.sum("rockcleat.gateway.processor", "Processor time that the process has used.", metric.WithUnit("s"))
	return m, b.err
}

func (m *GatewayMetrics) histogram(b *instrumentBuilder, name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(gatewayBuckets...))
	b.recordError(err)
	return h
}

// Handler returns the handler that Prometheus scrapes.
func (m *GatewayMetrics) Handler() http.Handler { return m.handler }

// RequestEnded counts a request of a route by its outcome, and records the times from its arrival to the first
// byte and to the end of the response, in seconds. first is 0 if no byte was sent.
func (m *GatewayMetrics) RequestEnded(route, outcome string, first, total float64) {
	ctx := context.Background()
	route = m.boundedLabel(route)
	byOutcome := m.attributeSet("route", route, "outcome", outcome)
	m.requests.Add(ctx, 1, byOutcome)
	m.duration.Record(ctx, total, byOutcome)
	if first > 0 {
		m.firstByte.Record(ctx, first, m.attributeSet("route", route, "", ""))
	}
}

// RequestSent counts a request sent to a backend server; retry means that it was sent before.
func (m *GatewayMetrics) RequestSent(service string, retry bool) {
	kind := "first"
	if retry {
		kind = "repeat"
	}
	m.sends.Add(context.Background(), 1, m.attributeSet("service", service, "kind", kind))
}

// Admissions counts the responses of other gateways to requests for admission at their engines: granted,
// denied, or none (unresponsive; the metric calls them silent).
func (m *GatewayMetrics) Admissions(granted, denied, unresponsive int) {
	ctx := context.Background()
	m.admissions.Add(ctx, int64(granted), m.attributeSet("result", "granted", "", ""))
	m.admissions.Add(ctx, int64(denied), m.attributeSet("result", "denied", "", ""))
	m.admissions.Add(ctx, int64(unresponsive), m.attributeSet("result", "silent", "", ""))
}

// QueueWaited records the wait of a request in the queue of a server that this gateway owns, and how far it was from the
// estimate, in seconds.
func (m *GatewayMetrics) QueueWaited(service string, estimated, waited float64) {
	ctx := context.Background()
	byService := m.attributeSet("service", service, "", "")
	m.queueWait.Record(ctx, waited, byService)
	m.queueWaitError.Record(ctx, math.Abs(waited-estimated), byService)
}

// ConfigTransfer counts a transfer of the configuration from the store or another gateway, and its size
// in bytes. err is not nil if it failed.
func (m *GatewayMetrics) ConfigTransfer(from string, bytes int, err error) {
	ctx := context.Background()
	result := "complete"
	if err != nil {
		result = "failed"
	}
	m.configTransfers.Add(ctx, 1, m.attributeSet("from", from, "result", result))
	m.configBytes.Add(ctx, int64(bytes), m.attributeSet("from", from, "", ""))
}

// ForeignResponse counts a response of a backend server that was not that of the request for which it came, by kind.
func (m *GatewayMetrics) ForeignResponse(kind string) {
	m.foreignResponses.Add(context.Background(), 1, m.attributeSet("kind", kind, "", ""))
}

// BrokenResponse counts a response of a backend server that was malformed or broken off, by kind.
func (m *GatewayMetrics) BrokenResponse(kind string) {
	m.brokenResponses.Add(context.Background(), 1, m.attributeSet("kind", kind, "", ""))
}

// ServerCrashed counts a backend server of a service that crashed while it ran requests.
func (m *GatewayMetrics) ServerCrashed(service string) {
	m.serverCrashes.Add(context.Background(), 1, m.attributeSet("service", service, "", ""))
}

// ServerLimitChanged counts a limit that a backend server announced, changed or ended, by state.
func (m *GatewayMetrics) ServerLimitChanged(state string) {
	m.serverLimits.Add(context.Background(), 1, m.attributeSet("state", state, "", ""))
}

// ServerPause counts a change of the time for which a backend server accepts no requests, by state.
func (m *GatewayMetrics) ServerPause(state string) {
	m.serverPauses.Add(context.Background(), 1, m.attributeSet("state", state, "", ""))
}

// ServerSpeedChanged counts a backend server whose speed became distinct from the median, or the median again, by state.
func (m *GatewayMetrics) ServerSpeedChanged(state string) {
	m.serverSpeeds.Add(context.Background(), 1, m.attributeSet("state", state, "", ""))
}

// ServerDeparture counts a backend server that announced that it is leaving, by origin of the announcement.
func (m *GatewayMetrics) ServerDeparture(origin string) {
	m.serverDepartures.Add(context.Background(), 1, m.attributeSet("origin", origin, "", ""))
}

// StreamResumed counts a stream that a caller resumes, by the source of its origin.
func (m *GatewayMetrics) StreamResumed(source string) {
	m.streamsResumed.Add(context.Background(), 1, m.attributeSet("origin", source, "", ""))
}

// OriginsNotSent counts records of streams that could not be sent to another gateway.
func (m *GatewayMetrics) OriginsNotSent(records int) {
	m.originsNotSent.Add(context.Background(), int64(records))
}

// PermitRequested counts a request for a permit at a backend server with a limit, by outcome.
func (m *GatewayMetrics) PermitRequested(outcome string) {
	m.permits.Add(context.Background(), 1, m.attributeSet("outcome", outcome, "", ""))
}

// ProcessorRefused counts a request that was refused because the gateway was short of processor time.
func (m *GatewayMetrics) ProcessorRefused() { m.processorRefusals.Add(context.Background(), 1) }

// ConnectionsAccepted counts n new connections of callers by what became of them.
func (m *GatewayMetrics) ConnectionsAccepted(result string, n int64) {
	m.connections.Add(context.Background(), n, m.attributeSet("result", result, "", ""))
}

// HeadersRefused counts n requests that were refused before their header was complete, by reason.
func (m *GatewayMetrics) HeadersRefused(reason string, n int64) {
	m.headersRefused.Add(context.Background(), n, m.attributeSet("reason", reason, "", ""))
}

// MemoryHeld records the memory that callers' requests hold, by account, in bytes.
func (m *GatewayMetrics) MemoryHeld(account string, bytes int64) {
	m.memoryHeld.Record(context.Background(), bytes, m.attributeSet("account", account, "", ""))
}

// IntakeObserved records the highest number of pending requests in the last second and the processor time that the
// process used in it, in seconds.
func (m *GatewayMetrics) IntakeObserved(pending int, processorSeconds float64) {
	ctx := context.Background()
	m.pending.Record(ctx, int64(pending))
	m.processorTime.Add(ctx, max(processorSeconds, 0))
}

// QuotaCharged counts a request that was charged to an organisation's limit, by outcome. Requests within the
// limit also add their cost, in the limit's unit.
func (m *GatewayMetrics) QuotaCharged(organisation, outcome string, cost float64) {
	ctx := context.Background()
	organisation = m.boundedLabel(organisation)
	m.charges.Add(ctx, 1, m.attributeSet("customer", organisation, "outcome", outcome))
	if outcome == "inside" {
		m.spent.Add(ctx, cost, m.attributeSet("customer", organisation, "", ""))
	}
}

// QuotaRefunded counts a charge that was returned to an organisation's limit, by outcome of the request. cost is in the
// limit's unit.
func (m *GatewayMetrics) QuotaRefunded(organisation, outcome string, cost float64) {
	m.refunded.Add(context.Background(), cost, m.attributeSet("customer", m.boundedLabel(organisation), "outcome", outcome))
}

// LeadershipResigned counts a lease that the gateway gave up since an engine had rejected its token.
func (m *GatewayMetrics) LeadershipResigned() { m.resignations.Add(context.Background(), 1) }

// StoreCall counts a call to the platform's store by kind.
func (m *GatewayMetrics) StoreCall(kind string) {
	m.storeCalls.Add(context.Background(), 1, m.attributeSet("kind", kind, "", ""))
}

// boundedLabel returns value, or otherLabel if value is new and maxLabelValues others are in use.
func (m *GatewayMetrics) boundedLabel(value string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.labelValues[value] {
		return value
	}
	if len(m.labelValues) >= maxLabelValues {
		return otherLabel
	}
	m.labelValues[value] = true
	return value
}

// attributeSet returns a cached set of one or two attributes. name2 is empty if there is one.
func (m *GatewayMetrics) attributeSet(name, value, name2, value2 string) metric.MeasurementOption {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := attributeKey{first: name + "=" + value, second: name2 + "=" + value2}
	if s, ok := m.attributeSets[key]; ok {
		return s
	}
	list := []attribute.KeyValue{attribute.String(name, value)}
	if name2 != "" {
		list = append(list, attribute.String(name2, value2))
	}
	s := metric.WithAttributeSet(attribute.NewSet(list...))
	m.attributeSets[key] = s
	return s
}
