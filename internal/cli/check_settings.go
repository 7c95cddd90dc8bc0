package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/config"
)

// configCheckCommand returns the command that checks a settings file.
func (a *app) configCheckCommand() *ffcli.Command {
	fs := a.flags("check")
	role := fs.String("role", "entry", "entry, agent or gateway")
	return a.command(commandHelp{
		name: "check", usage: "config check [-role entry|agent|gateway] FILE",
		short:   "Check a settings file as the daemon would.",
		example: "rockcleat config check -role agent agent.yaml",
	}, fs,
		func(_ context.Context, args []string) error { return a.checkConfig(args, *role) })
}

// checkConfig validates a settings file for a role.
func (a *app) checkConfig(args []string, role string) error {
	if err := checkArgCount(args, 1, 1, "one FILE"); err != nil {
		return err
	}
	var settings config.Settings
	switch role {
	case "entry":
		settings = &config.Entry{}
	case "agent":
		settings = &config.Agent{}
	case "gateway":
		settings = &config.Gateway{}
	default:
		return fmt.Errorf("%w: role %q is not entry, agent or gateway", errUsage, role)
	}
	if err := config.Read(args[0], settings); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: ok\n", args[0])
	return nil
}
