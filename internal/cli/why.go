package cli

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/wire"
)

// whyCommand returns the command that prints the latest decisions of the entries.
func (a *app) whyCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "why", usage: "why [NAME]",
		short:   "Print the latest decisions, or those about one row, with their reasons.",
		example: "rockcleat why clue-draft",
	}, a.flags("why"), a.why)
}

// why prints the decisions of each entry. Entries that do not respond are reported and skipped.
func (a *app) why(ctx context.Context, args []string) error {
	if err := checkArgCount(args, 0, 1, "at most one NAME"); err != nil {
		return err
	}
	name := strings.Join(args, "")
	c, err := a.client()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tENTRY\tDECISION\tNAME\tSERVER\tREASON")
	for _, addr := range a.entries() {
		var d wire.DecisionsResponse
		if err := c.Get(ctx, addr, wire.PathDecisions+"?name="+url.QueryEscape(name), &d); err != nil {
			fmt.Fprintf(a.err, "rockcleat: entry %s: %v\n", addr, err)
			continue
		}
		for _, x := range d.Decisions {
			at := time.UnixMilli(x.Time).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", at, d.Entry, x.Kind, x.Name, x.Server, x.Reason)
		}
	}
	return w.Flush()
}
