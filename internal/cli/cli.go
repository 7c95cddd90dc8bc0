package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/table"
)

// Exit codes of the command.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed = 1
	// ExitUsage means invalid flags or arguments, or that help was printed.
	ExitUsage = 2
	// ExitInvalid means that the edit failed validation.
	ExitInvalid = 3
	// ExitConflict means that the row was changed by another operator since it was read.
	ExitConflict = 4
	// ExitUnknown means that a save had no response and may have taken effect.
	ExitUnknown = 5
)

const exitCodesHelp = `Exit codes: 0 done; 1 failed, nothing changed; 2 wrong usage; 3 refused by the
checks, nothing saved; 4 another operator changed the row first, nothing saved;
5 no answer, the save may have taken effect: run "rockcleat table history" to see.`

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "ROCKCLEAT"

// errUsage is wrapped by all errors for invalid flags or arguments.
var errUsage = errors.New("wrong usage")

// An app holds the streams and the common flags of one run of the command.
type app struct {
	in       io.Reader
	out, err io.Writer
	// entryAddrs is the comma-separated list of the entries' control addresses.
	entryAddrs string
	// secretFile is the path of a file that holds the shared secret; it takes precedence over secret.
	secret, secretFile string
	// author is stored with each edit.
	author string
}

// Run parses args, runs the command and returns its exit code. It reads standard input from in.
func Run(ctx context.Context, args []string, in io.Reader, out, stderr io.Writer) int {
	a := &app{in: in, out: out, err: stderr}
	root := a.root()
	err := root.Parse(args)
	if err == nil {
		err = root.Run(ctx)
	}
	return a.reportError(err)
}

// reportError prints err, unless it is nil or a request for help, and returns the exit code for it.
func (a *app) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintln(a.err, "rockcleat:", err)
	var check table.CheckError
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, table.ErrInvalid), errors.As(err, &check):
		return ExitInvalid
	case errors.Is(err, table.ErrRowConflict):
		return ExitConflict
	case errors.Is(err, table.ErrSaveUnknown):
		return ExitUnknown
	}
	return ExitFailed
}

// flags returns a flag set with the flags that most commands share.
func (a *app) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	fs.StringVar(&a.entryAddrs, "entry", "127.0.0.1:8081", "control addresses of entries, separated by commas; tried in turn")
	fs.StringVar(&a.secret, "secret", "", "shared secret; better set ROCKCLEAT_SECRET or -secret-file")
	fs.StringVar(&a.secretFile, "secret-file", "", "file that holds the shared secret")
	fs.StringVar(&a.author, "author", os.Getenv("USER"), "name kept with saved edits")
	return fs
}

// A commandFunc executes a command with its positional arguments.
type commandFunc func(ctx context.Context, args []string) error

// A commandHelp holds the texts of a command's help.
type commandHelp struct{ name, usage, short, example string }

// command returns a subcommand whose flags can also be set by environment variables.
func (a *app) command(h commandHelp, fs *flag.FlagSet, f commandFunc) *ffcli.Command {
	return &ffcli.Command{
		Name:       h.name,
		ShortUsage: "rockcleat " + h.usage,
		ShortHelp:  h.short,
		LongHelp:   h.short + "\n\nExample:\n  " + h.example + "\n\n" + exitCodesHelp,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       f,
	}
}

// group returns a command that has only subcommands and does nothing itself.
func (a *app) group(name, usage, short string, subs ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: short, LongHelp: short + "\n\n" + exitCodesHelp,
		FlagSet: fs, Subcommands: subs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: no command %q; see rockcleat -h", errUsage, strings.Join(args, " "))
			}
			return flag.ErrHelp
		},
	}
}

// root returns the top-level command with all its subcommands.
func (a *app) root() *ffcli.Command {
	return a.group("rockcleat", "rockcleat COMMAND [flags] [arguments]",
		"Show and edit the table of models, and see what the system does with it.",
		a.group("table", "rockcleat table COMMAND", "Show and edit the table.", a.tableCommands()...),
		a.group("quarantine", "rockcleat quarantine COMMAND", "Show and lift the quarantine of requests under which servers end.",
			a.quarantineCommands()...),
		a.limitsCommand(),
		a.statusCommand(), a.whyCommand(), a.traceCommand(), a.summaryCommand(),
		a.group("config", "rockcleat config COMMAND", "Check settings files.", a.configCheckCommand()),
		a.completionCommand(),
	)
}

// checkArgCount returns a usage error unless the number of arguments is from low to high. A negative
// high means no upper bound.
func checkArgCount(args []string, low, high int, expected string) error {
	if len(args) < low || high >= 0 && len(args) > high {
		return fmt.Errorf("%w: expected %s", errUsage, expected)
	}
	return nil
}
