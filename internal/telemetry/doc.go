// Package telemetry sets up a process's log and its OpenTelemetry metrics.
//
// The package owns the names of metrics and labels, which dashboards depend on; docs/METRICS.md lists
// them. Metrics are the instruments of entries and agents, GatewayMetrics those of gateways. Gateways
// log through a Sink, so that a stalled reader of the log never blocks a request.
//
// Durations are in seconds. Setup errors are returned at the start; recording never fails.
package telemetry
