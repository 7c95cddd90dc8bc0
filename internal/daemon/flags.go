package daemon

import (
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
)

// Exit codes of the daemons.
const (
	// ExitOK says that the process stopped as asked.
	ExitOK = 0
	// ExitFailed says that it could not start, or not stop in order.
	ExitFailed = 1
	// ExitSettings says that its flags or settings are wrong.
	ExitSettings = 2
)

// envPrefix is the prefix of environment variables that set flags.
const envPrefix = "ROCKCLEAT"

// A command is what a daemon's help text says of it.
type command struct {
	name string
	// purpose completes the sentence that begins with the name.
	purpose string
	// example is the path of a settings file.
	example string
}

// settingsFile returns the path of the settings file that the flags or the environment name.
// ok is false if they are wrong; what is wrong has been printed.
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
