package daemon

import (
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
)

// Exit codes of the daemons.
const (
	// ExitOK means that the process was stopped by a signal and shut down gracefully.
	ExitOK = 0
	// ExitFailed means that the process failed to start or to shut down gracefully.
	ExitFailed = 1
	// ExitSettings means that the flags or settings are invalid.
	ExitSettings = 2
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "ROCKCLEAT"

// A command holds the texts of a daemon's help.
type command struct {
	name string
	// purpose is the rest of a sentence that begins with the name.
	purpose string
	// example is the path of a settings file in the example.
	example string
}

// settingsFile returns the path of the settings file from the flags or the environment. If they are
// invalid, it prints the reason and ok is false.
func (c command) settingsFile(args []string, stderr io.Writer) (path string, ok bool) {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(stderr)
	file := fs.String("config", "", "settings file (YAML); required")
	fs.Usage = func() {
		fmt.Fprintf(stderr, "%s %s\n\n", c.name, c.purpose)
		fmt.Fprintf(stderr, "Example:\n  %s -config %s\n\nFlags (or %s_CONFIG):\n", c.name, c.example, envPrefix)
		fs.PrintDefaults()
		fmt.Fprintf(stderr, "\nExit codes: 0 stopped as asked, 1 failed, 2 settings or flags wrong.\n")
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		return "", false
	}
	if *file == "" {
		fmt.Fprintf(stderr, "%s: flag -config or variable %s_CONFIG is required\n", c.name, envPrefix)
		return "", false
	}
	return *file, true
}
