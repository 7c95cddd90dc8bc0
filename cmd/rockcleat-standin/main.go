// Command rockcleat-standin runs a simulator of one of the platform's services, for tests and for
// experiments on one machine.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/server"
	"rockcleat/internal/standin"
)

func main() {
	root := &ffcli.Command{
		Name:       "rockcleat-standin",
		ShortUsage: "rockcleat-standin kv|vms|weights|engine|service [flags]",
		ShortHelp:  "Run a stand-in for one of the platform's services.",
		FlagSet:    flag.NewFlagSet("rockcleat-standin", flag.ExitOnError),
		Subcommands: []*ffcli.Command{
			kvCommand(), vmsCommand(), weightsCommand(), engineCommand(), serviceCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

// command returns a subcommand that serves the handler returned by build until its context ends.
func command(name, help string, fs *flag.FlagSet, build func() http.Handler) *ffcli.Command {
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	return &ffcli.Command{
		Name: name, ShortUsage: "rockcleat-standin " + name + " [flags]", ShortHelp: help, FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error { return serve(ctx, *listen, build()) },
	}
}

// memoryMB is the memory of the machine that a stand-in takes itself to have, in MB. It bounds what its clients make it hold.
const memoryMB = 256

func serve(ctx context.Context, addr string, h http.Handler) error {
	config := net.ListenConfig{Control: server.LimitReceiveBuffer}
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	guard := server.NewVMGuard(memoryMB)
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	guard.Protect(s)
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(guard.Wrap(l)); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func kvCommand() *ffcli.Command {
	fs := flag.NewFlagSet("kv", flag.ExitOnError)
	reads := fs.Float64("reads", 2000, "reads a second; 0 is no limit")
	writes := fs.Float64("writes", 100, "writes a second; 0 is no limit")
	return command("kv", "Key-value service.", fs, func() http.Handler {
		return standin.NewKV(standin.KVOptions{ReadsPerSecond: *reads, WritesPerSecond: *writes})
	})
}

func vmsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("vms", flag.ExitOnError)
	lag := fs.Duration("lag", time.Second, "how late the list shows changes")
	return command("vms", "List of VMs.", fs, func() http.Handler { return standin.NewVMList(*lag) })
}

func weightsCommand() *ffcli.Command {
	fs := flag.NewFlagSet("weights", flag.ExitOnError)
	loads := fs.Float64("loads", 1.5, "loads a second; 0 is no limit")
	full := fs.Int("full-speed", 10, "loads at once that run at full speed")
	speed := fs.Float64("speed", 20000, "speed of one load in MiB/s")
	return command("weights", "Weight store.", fs, func() http.Handler {
		return standin.NewWeightStore(standin.WeightStoreOptions{LoadsPerSecond: *loads, FullSpeedLoads: *full, MiBPerSecond: *speed})
	})
}

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ExitOnError)
	var o standin.EngineOptions
	fs.IntVar(&o.Accelerators, "accelerators", 2, "number of accelerators")
	fs.IntVar(&o.MemoryMiB, "memory", 81920, "memory of each accelerator in MiB")
	fs.IntVar(&o.Slots, "slots", 8, "sequences that an accelerator batches")
	fs.DurationVar(&o.DecodeStep, "step", 20*time.Millisecond, "time of a decoding step")
	fs.Float64Var(&o.PrefillTokensPerSecond, "prefill", 20000, "prompt tokens read a second")
	fs.DurationVar(&o.UnloadTime, "unload", 50*time.Millisecond, "time of an unload")
	fs.StringVar(&o.Weights, "weights", "", "weight store's base URL")
	fs.BoolVar(&o.CheckFence, "checks-orders", true, "refuse orders with an old fencing token")
	fs.DurationVar(&o.ReportLag, "report-lag", 500*time.Millisecond, "by how much the reported load may be out of date")
	return command("engine", "Model engine.", fs, func() http.Handler { return standin.NewEngine(o) })
}

func serviceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("service", flag.ExitOnError)
	delay := fs.Duration("delay", 5*time.Millisecond, "time of a call")
	return command("service", "Plain service.", fs, func() http.Handler { return standin.NewService(*delay) })
}
