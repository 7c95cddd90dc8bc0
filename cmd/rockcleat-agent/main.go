// Command rockcleat-agent runs one agent process of rockcleat.
package main

import (
	"os"

	"rockcleat/internal/daemon"
)

func main() { os.Exit(daemon.Agent(os.Args[1:], os.Stderr)) }
