// Package telemetry sets up a process's log and its OpenTelemetry metrics.
//
// It owns the names of metrics and labels, which dashboards rely on (docs/METRICS.md): Metrics are
// those of entries and agents, GatewayMetrics those of gateways, whose log goes through a Sink so
// that a reader of the log that stalls never stops a request. Times are in seconds. Nothing here
// fails while a process runs; what cannot be set up is an error at the start.
package telemetry
