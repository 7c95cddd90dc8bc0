package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/wire"
	"rockcleat/quarantine"
)

// quarantineCommands returns the commands on the quarantine of requests during which servers have
// crashed.
func (a *app) quarantineCommands() []*ffcli.Command {
	var gateway string
	flags := func(name string) *flag.FlagSet {
		fs := a.flags(name)
		fs.StringVar(&gateway, "gateway", "", "peer_listen address of any gateway; an entry is asked without it")
		return fs
	}
	listFlags := flags("list")
	asJSON := listFlags.Bool("json", false, "print JSON")
	return []*ffcli.Command{
		a.command(commandHelp{
			name: "list", usage: "quarantine list [-gateway ADDR] [-json]",
			short:   "Print the contents of requests and the parts of prompts under which servers have ended, and which are refused for that.",
			example: "rockcleat quarantine list -gateway 10.1.0.38:8144",
		}, listFlags, func(ctx context.Context, _ []string) error { return a.listQuarantine(ctx, gateway, *asJSON) }),
		a.command(commandHelp{
			name: "lift", usage: "quarantine lift [-gateway ADDR] DIGEST",
			short:   "Serve requests again under which servers have ended. All gateways or entries follow within seconds.",
			example: "rockcleat quarantine lift -gateway 10.1.0.38:8144 08a89246bccc4d27bab354cdd3d288b3",
		}, flags("lift"), func(ctx context.Context, args []string) error { return a.liftQuarantine(ctx, gateway, args) }),
	}
}

// quarantineAddr returns the address to call: the gateway if one is given, else the first entry.
func (a *app) quarantineAddr(gateway string) string {
	if gateway != "" {
		return gateway
	}
	return a.entries()[0]
}

// listQuarantine prints the quarantine records of a gateway or an entry.
func (a *app) listQuarantine(ctx context.Context, gateway string, asJSON bool) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	var list wire.QuarantineList
	if err := c.Get(ctx, a.quarantineAddr(gateway), wire.PathQuarantine, &list); err != nil {
		return err
	}
	if asJSON {
		return printJSON(a.out, list)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tKIND\tPART\tENDS\tIN TRIALS\tLAST END\tREFUSED FOR\tSERVERS")
	for _, item := range list.Items {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s ago\t%s\t%s\n", item.Key, item.Kind, cmp.Or(item.Name, "-"), len(item.Servers),
			len(item.Trials), roundedDuration(item.AgeMs), roundedDuration(item.RemainingMs), strings.Join(item.Servers, " "))
	}
	return w.Flush()
}

// roundedDuration converts milliseconds to a duration rounded to seconds.
func roundedDuration(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second)
}

// liftQuarantine clears the crashes recorded for a request, so that it is served again.
func (a *app) liftQuarantine(ctx context.Context, gateway string, args []string) error {
	if err := checkArgCount(args, 1, 1, "DIGEST"); err != nil {
		return err
	}
	var key quarantine.Key
	if err := key.UnmarshalText([]byte(args[0])); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	var lifted wire.LiftResponse
	if err := c.Post(ctx, a.quarantineAddr(gateway), wire.PathQuarantine, wire.LiftRequest{Key: key}, &lifted); err != nil {
		return err
	}
	if !lifted.Known {
		return fmt.Errorf("no server is known to have ended under %s", key)
	}
	fmt.Fprintln(a.out, "lifted", key)
	return nil
}
