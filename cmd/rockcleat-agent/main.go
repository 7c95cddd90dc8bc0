// Command rockcleat-agent runs an agent of rockcleat beside a backend server.
package main

import (
	"os"

	"rockcleat/internal/daemon"
)

func main() { os.Exit(daemon.Agent(os.Args[1:], os.Stderr)) }
