// Command rockcleat is the operators' command line.
package main

import (
	"context"
	"os"

	"rockcleat/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
