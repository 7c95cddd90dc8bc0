// Command rockcleat-entry runs an entry of rockcleat.
package main

import (
	"os"

	"rockcleat/internal/daemon"
)

func main() { os.Exit(daemon.Entry(os.Args[1:], os.Stderr)) }
