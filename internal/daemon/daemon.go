package daemon

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
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

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = "ROCKCLEAT"

// A process is what a daemon runs.
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

func run(name string, args []string, stderr io.Writer, build builder) int {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("config", "", "settings file (YAML); required")
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s runs one process of rockcleat until SIGTERM or SIGINT.\n\n", name)
		fmt.Fprintf(stderr, "Example:\n  %s -config /etc/rockcleat/settings.yaml\n\nFlags (or %s_CONFIG):\n", name, envPrefix)
		fs.PrintDefaults()
		fmt.Fprintf(stderr, "\nExit codes: 0 stopped as asked, 1 failed, 2 settings or flags wrong.\n")
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil || *file == "" {
		if err == nil {
			fmt.Fprintf(stderr, "%s: flag -config is required\n", name)
		}
		return ExitSettings
	}
	p, settings, log, err := build(*file)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	return serve(p, settings, log)
}

// serve starts the process and stops it on a signal.
func serve(p process, settings config.Process, log *zap.Logger) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := p.Start(); err != nil {
		log.Error("not started", zap.Error(err))
		return ExitFailed
	}
	<-ctx.Done()
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
		Clock:    clock.Real{},
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
		Clock:    clock.Real{},
		Log:      log,
		Metrics:  metrics,
		Traffic:  traffic,
	})
	return a, s.Process, log, nil
}

func instruments(s config.Process, role string) (*zap.Logger, *telemetry.Metrics, error) {
	log, err := telemetry.NewLogger(s.Log, role, s.ID)
	if err != nil {
		return nil, nil, err
	}
	metrics, err := telemetry.NewMetrics()
	return log, metrics, err
}

func store(s config.Process, client *http.Client, m *telemetry.Metrics) kv.Store {
	return kv.NewClient(kv.Options{URL: s.KV, HTTP: client, Counted: m.KVCall})
}
