// Command lab starts rockcleat on the loopback interface with stand-ins for the platform's services,
// for experiments and for a smoke test.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &ffcli.Command{
		Name: "lab", ShortUsage: "lab run|smoke", FlagSet: flag.NewFlagSet("lab", flag.ExitOnError),
		Subcommands: []*ffcli.Command{
			command("run", "Start a small system until a signal.", runSystem),
			command("smoke", "Start a small system, use every part once and stop it.", smoke),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		stop()
		os.Exit(1)
	}
}

func command(name, help string, f func(ctx context.Context, bin, dir string) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "lab " + name, ShortHelp: help, FlagSet: flag.NewFlagSet(name, flag.ExitOnError),
		Exec: func(ctx context.Context, _ []string) error {
			dir, err := lab.TempDir()
			if err != nil {
				return err
			}
			bin := filepath.Join(dir, "bin")
			if err := lab.Build(ctx, ".", bin); err != nil {
				return err
			}
			return f(ctx, bin, dir)
		},
	}
}

// entryPort is the client port of the first entry that runSystem starts. The next port is its control port.
const entryPort = 8080

func runSystem(ctx context.Context, bin, dir string) error {
	o := lab.SmallOptions(bin, dir)
	o.EntryPort = entryPort
	s, err := lab.Start(ctx, o)
	if err != nil {
		return err
	}
	defer s.Stop()
	e := s.Entries[0]
	fmt.Printf(`rockcleat runs: 2 entries, 3 engines, 1 plain service; logs and settings in %[3]s

a streamed chat request:
  curl -N http://%[1]s/v1/chat/completions -d '{"model":"clue-draft","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"seven letters, cold island"}]}'
a request to an adapter:
  curl http://%[1]s/v1/chat/completions -d '{"model":"clue-draft/sapporo","max_tokens":8,"messages":[{"role":"user","content":"snow festival"}]}'
a plain call that may not be repeated (paste it twice: one effect):
  curl -i -X POST http://%[1]s/renewals/household-7 -H 'Idempotency-Key: renewal-7' -d 'one year'
one row edited, and the whole seen:
  export ROCKCLEAT_ENTRY=%[2]s ROCKCLEAT_SECRET=%[4]s
  %[5]s/rockcleat table set hint weight=5
  %[5]s/rockcleat status

Ctrl-C stops it.
`, e.Addr, e.Control, dir, lab.Secret, bin)
	<-ctx.Done()
	return nil
}
