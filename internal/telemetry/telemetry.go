package telemetry

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"

	"rockcleat/internal/config"
)

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(l config.Log, role, id string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if l.Format == "console" {
		c = zap.NewDevelopmentConfig()
		c.DisableStacktrace = true
	}
	level, err := zap.ParseAtomicLevel(l.Level)
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: parse log level")
	}
	c.Level = level
	c.DisableCaller = true
	log, err := c.Build()
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: build logger")
	}
	return log.With(zap.String("role", role), zap.String("vm", id)), nil
}

// Metrics are the instruments of an entry or agent; docs/METRICS.md lists them.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests     metric.Int64Counter
	firstToken   metric.Float64Histogram
	duration     metric.Float64Histogram
	queueTime    metric.Float64Histogram
	retries      metric.Int64Counter
	unauthorized metric.Int64Counter
	orders       metric.Int64Counter
	kvCalls      metric.Int64Counter
}

// secondsBuckets are the bucket bounds of the latency histograms, in seconds. 0.34 is the objective for the
// first token (docs/CAPACITY.md).
var secondsBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.34, 0.5, 1, 2, 5, 10, 30, 60, 300,
}

// NewMetrics returns the instruments of an entry or agent; Handler exposes their values.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, eris.Wrap(err, "telemetry: create Prometheus exporter")
	}
	m := &Metrics{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter)),
	}
	return m, m.makeInstruments()
}

// makeInstruments creates the instruments that docs/METRICS.md lists.
func (m *Metrics) makeInstruments() error {
	b := &instrumentBuilder{meter: m.provider.Meter("rockcleat")}
	m.requests = b.counter("rockcleat.requests", "Requests by outcome, tier and customer.")
	m.firstToken = b.histogram("rockcleat.first_token", "Time from a request's arrival to the first byte of its answer.")
	m.duration = b.histogram("rockcleat.request_duration", "Time from a request's arrival to the end of its answer.")
	m.queueTime = b.histogram("rockcleat.queue_time", "Time that a request waited at its agent before it ran.")
	m.retries = b.counter("rockcleat.retries", "Requests sent to a further backend server.")
	m.unauthorized = b.counter("rockcleat.unauthorized", "Messages refused for a wrong or missing secret.")
	m.orders = b.counter("rockcleat.orders", "Orders to the backend server by kind and result.")
	m.kvCalls = b.counter("rockcleat.kv_calls", "Calls to the platform's key-value service by kind.")
	return b.err
}

// An instrumentBuilder creates instruments and keeps the first error.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (b *instrumentBuilder) counter(name, description string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(description))
	b.recordError(err)
	return c
}

// sum creates a counter of amounts that may be fractions.
func (b *instrumentBuilder) sum(name, description string, options ...metric.Float64CounterOption) metric.Float64Counter {
	c, err := b.meter.Float64Counter(name, append(options, metric.WithDescription(description))...)
	b.recordError(err)
	return c
}

// histogram creates a histogram of durations.
func (b *instrumentBuilder) histogram(name, description string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(description), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBuckets...))
	b.recordError(err)
	return h
}

// recordError records err unless an earlier one was recorded.
func (b *instrumentBuilder) recordError(err error) {
	if b.err == nil && err != nil {
		b.err = eris.Wrap(err, "telemetry: create instrument")
	}
}

// Handler returns the handler that Prometheus scrapes.
func (m *Metrics) Handler() http.Handler { return m.handler }

// A Class is the tier and organisation of a request.
type Class struct {
	Tier         string
	Organisation string
}

// attributes returns the labels of a class and more. The label customer is the organisation.
func (c Class) attributes(more ...attribute.KeyValue) metric.MeasurementOption {
	all := append(more, attribute.String("tier", c.Tier), attribute.String("customer", c.Organisation))
	return metric.WithAttributes(all...)
}

// Request counts a request by its outcome.
func (m *Metrics) Request(c Class, outcome string) {
	m.requests.Add(context.Background(), 1, c.attributes(attribute.String("outcome", outcome)))
}

// FirstToken records the time from a request's arrival to the first byte of its response, in seconds.
func (m *Metrics) FirstToken(c Class, seconds float64) {
	m.firstToken.Record(context.Background(), seconds, c.attributes())
}

// Duration records the time from a request's arrival to the end of its response, in seconds.
func (m *Metrics) Duration(c Class, seconds float64) {
	m.duration.Record(context.Background(), seconds, c.attributes())
}

// QueueTime records the time that a request waited at its agent, in seconds.
func (m *Metrics) QueueTime(c Class, seconds float64) {
	m.queueTime.Record(context.Background(), seconds, c.attributes())
}

// Retry counts a request that was sent to a further backend server.
func (m *Metrics) Retry(c Class) { m.retries.Add(context.Background(), 1, c.attributes()) }

// Unauthorized counts a message on a path that was refused for a missing or wrong secret.
func (m *Metrics) Unauthorized(path string) {
	m.unauthorized.Add(context.Background(), 1, metric.WithAttributes(attribute.String("path", path)))
}

// Order counts an order to the backend server, by operation and result.
func (m *Metrics) Order(op, result string) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("op", op), attribute.String("result", result)))
}

// KVCall counts a call to the platform's key-value service by kind.
func (m *Metrics) KVCall(kind string) {
	m.kvCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}
