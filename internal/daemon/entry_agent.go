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

// A builder makes a process from a settings file.
type builder func(file string) (process, config.Process, *zap.Logger, error)

// Entry runs the entry daemon until a signal and returns its exit code.
func Entry(args []string, stderr io.Writer) int {
	return run("rockcleat-entry", args, stderr, buildEntry)
}

// Agent runs the agent daemon until a signal and returns its exit code.
func Agent(args []string, stderr io.Writer) int {
	return run("rockcleat-agent", args, stderr, buildAgent)
}

// run builds a process from its settings file, starts it and stops it on a signal.
func run(name string, args []string, stderr io.Writer, build builder) int {
	signals := takeSignals(false)
	defer signals.release()
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

// serve starts the process and stops it on a signal.
func serve(p process, settings config.Process, signals signals, log *zap.Logger) int {
	if err := p.Start(); err != nil {
		log.Error("not started", zap.Error(err))
		return ExitFailed
	}
	<-signals.stop
	limit := 2*settings.LeaveTime.Std() + settings.DrainTime.Std()
	drain, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := p.Stop(drain); err != nil {
		log.Error("not stopped in order", zap.Error(err))
		return ExitFailed
	}
	log.Info("stopped")
	return ExitOK
}

// buildEntry makes an entry from its settings file.
func buildEntry(file string) (process, config.Process, *zap.Logger, error) {
	var s config.Entry
	if err := config.Read(file, &s); err != nil {
		return nil, s.Process, nil, err
	}
	log, metrics, err := instruments(s.Process, "entry")
	if err != nil {
		return nil, s.Process, nil, err
	}
	traffic := &wire.Traffic{}
	client := &http.Client{Transport: wire.NewTransport(traffic)}
	e := entry.New(entry.Options{
		Settings: s,
		Store:    store(s.Process, client, metrics),
		Platform: inventory.NewClient(client, s.VMs, s.Weights),
		Clock:    clock.NewSystem(),
		Log:      log,
		Metrics:  metrics,
		Traffic:  traffic,
	})
	return e, s.Process, log, nil
}

// buildAgent makes an agent from its settings file.
func buildAgent(file string) (process, config.Process, *zap.Logger, error) {
	var s config.Agent
	if err := config.Read(file, &s); err != nil {
		return nil, s.Process, nil, err
	}
	log, metrics, err := instruments(s.Process, "agent")
	if err != nil {
		return nil, s.Process, nil, err
	}
	traffic := &wire.Traffic{}
	client := &http.Client{Transport: wire.NewTransport(traffic)}
	// The backend server is on the same VM and counts for no traffic.
	beside := &http.Client{Transport: wire.NewTransport(&wire.Traffic{})}
	var vms agent.VMLister
	if s.VMs != "" {
		vms = inventory.NewClient(client, s.VMs, "")
	}
	a := agent.New(agent.Options{
		Settings: s,
		VMs:      vms,
		Store:    store(s.Process, client, metrics),
		Engine:   engine.NewClient(s.Backend.URL, beside),
		Clock:    clock.NewSystem(),
		Log:      log,
		Metrics:  metrics,
		Traffic:  traffic,
	})
	return a, s.Process, log, nil
}

// instruments returns a process's log and metrics.
func instruments(s config.Process, role string) (*zap.Logger, *telemetry.Metrics, error) {
	log, err := telemetry.NewLogger(s.Log, role, s.ID)
	if err != nil {
		return nil, nil, err
	}
	metrics, err := telemetry.NewMetrics()
	return log, metrics, err
}

// store returns the client of the platform's key-value service.
func store(s config.Process, client *http.Client, m *telemetry.Metrics) kv.Store {
	return kv.NewClient(kv.Options{URL: s.KV, HTTP: client, Counted: m.KVCall})
}
