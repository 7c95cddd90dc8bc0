// Package telemetry sets up a process's log and its OpenTelemetry metrics.
package telemetry
