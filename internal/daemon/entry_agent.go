package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"go.uber.org/zap"

	"rockcleat/clock"
	"rockcleat/internal/agent"
	"rockcleat/internal/config"
	"rockcleat/internal/engine"
	"rockcleat/internal/entry"
	"rockcleat/internal/inventory"
	"rockcleat/internal/telemetry"
	"rockcleat/internal/wire"
	"rockcleat/kv"
)

// A process is an entry or an agent.
type process interface {
	Start() error
	Stop(ctx context.Context) error
}

// A builder constructs a process from a settings file.
type builder func(file string) (process, config.Process, *zap.Logger, error)

// Entry runs the entry daemon until SIGTERM or SIGINT and returns its exit code.
func Entry(args []string, stderr io.Writer) int {
	return run("rockcleat-entry", args, stderr, buildEntry)
}

// Agent runs the agent daemon until SIGTERM or SIGINT and returns its exit code.
func Agent(args []string, stderr io.Writer) int {
	return run("rockcleat-agent", args, stderr, buildAgent)
}

// run constructs a process from its settings file and serves until a signal stops it.
func run(name string, args []string, stderr io.Writer, build builder) int {
	signals := notifySignals(false)
	defer signals.stopNotify()
	c := command{
		name: name, purpose: "runs one process of rockcleat until SIGTERM or SIGINT.",
		example: "/etc/rockcleat/settings.yaml",
	}
	file, ok := c.settingsFile(args, stderr)
	if !ok {
		return ExitSettings
	}
	p, settings, log, err := build(file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	return serve(p, settings, signals, log)
}

// serve starts the process and stops it on a signal. The stop may take twice the leave time plus the
// drain time.
func serve(p process, settings config.Process, signals signals, log *zap.Logger) int {
	if err := p.Start(); err != nil {
		log.Error("start failed", zap.Error(err))
		return ExitFailed
	}
	<-signals.stop
	limit := 2*settings.LeaveTime.Std() + settings.DrainTimeout.Std()
	drain, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.Stop(drain); err != nil {
		log.Error("graceful shutdown failed", zap.Error(err))
		return ExitFailed
	}
	log.Info("stopped")
	return ExitOK
}

func buildEntry(file string) (process, config.Process, *zap.Logger, error) {
	var s config.Entry
	if err := config.Read(file, &s); err != nil {
		return nil, s.Process, nil, err
	}
	limitHeap(s.Limits.MemoryMB)
	log, metrics, err := newTelemetry(s.Process, "entry")
	if err != nil {
		return nil, s.Process, nil, err
	}
	traffic := &wire.TrafficCounter{}
	client := &http.Client{Transport: wire.CheckResponses(wire.NewTransport(traffic))}
	e := entry.New(entry.Options{
		Settings: s,
		Store:    newStore(s.Process, client, metrics),
		Platform: inventory.NewClient(client, s.VMs, s.Weights),
		Clock:    clock.NewSystem(),
		Log:      log,
		Metrics:  metrics,
		Traffic:  traffic,
	})
	return e, s.Process, log, nil
}

func buildAgent(file string) (process, config.Process, *zap.Logger, error) {
	var s config.Agent
	if err := config.Read(file, &s); err != nil {
		return nil, s.Process, nil, err
	}
	limitHeap(s.Limits.MemoryMB)
	log, metrics, err := newTelemetry(s.Process, "agent")
	if err != nil {
		return nil, s.Process, nil, err
	}
	traffic := &wire.TrafficCounter{}
	client := &http.Client{Transport: wire.CheckResponses(wire.NewTransport(traffic))}
	// The backend server runs on the same VM, so calls to it are excluded from the traffic counts.
	backend := wire.NewTransport(&wire.TrafficCounter{})
	var vms agent.VMLister
	if s.VMs != "" {
		vms = inventory.NewClient(client, s.VMs, "")
	}
	a := agent.New(agent.Options{
		Settings: s,
		VMs:      vms,
		Store:    newStore(s.Process, client, metrics),
		Engine:   engine.NewClient(s.Backend.URL, backend),
		Clock:    clock.NewSystem(),
		Log:      log,
		Metrics:  metrics,
		Traffic:  traffic,
	})
	return a, s.Process, log, nil
}

// newTelemetry returns the logger and the metrics of a process.
func newTelemetry(s config.Process, role string) (*zap.Logger, *telemetry.Metrics, error) {
	log, err := telemetry.NewLogger(s.Log, role, s.ID)
	if err != nil {
		return nil, nil, err
	}
	metrics, err := telemetry.NewMetrics()
	return log, metrics, err
}

// newStore returns a client of the platform's key-value service.
func newStore(s config.Process, client *http.Client, m *telemetry.Metrics) kv.Store {
	return kv.NewClient(kv.ClientOptions{URL: s.KV, HTTP: client, OnCall: m.KVCall})
}
