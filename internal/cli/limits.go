package cli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/wire"
	"rockcleat/quota"
)

// limitsCommand returns the command for the limits of organisations.
func (a *app) limitsCommand() *ffcli.Command {
	fs := a.flags("limits")
	gateways := fs.String("gateways", "", "peer_listen addresses of gateways, separated by commas; all of them for whole sums")
	asJSON := fs.Bool("json", false, "print JSON")
	return a.command(help{
		name: "limits", usage: "limits -gateways ADDR[,ADDR...] [-json]",
		short:   "Print the limit of each organisation, which gateway grants it, and what was decided since the gateways' start.",
		example: "rockcleat limits -gateways 10.1.0.38:8144,10.2.0.40:8144",
	}, fs, func(ctx context.Context, _ []string) error { return a.printLimits(ctx, *gateways, *asJSON) })
}

// printLimits prints what gateways know of the limits, their counts added up.
func (a *app) printLimits(ctx context.Context, gateways string, asJSON bool) error {
	if gateways == "" {
		return fmt.Errorf("%w: -gateways is needed", errUsage)
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	var sum limitSum
	for _, addr := range strings.Split(gateways, ",") {
		var list wire.LimitList
		if err := c.Get(ctx, addr, wire.PathLimits, &list); err != nil {
			return err
		}
		sum.add(list.Items)
	}
	if asJSON {
		return printJSON(a.out, wire.LimitList{Items: sum.items})
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ORGANISATION\tRATE/S\tBURST\tOWNER\tSHARE\tAVAILABLE\tINSIDE\tOVER\tUNKNOWN\tSPENT")
	for _, s := range sum.items {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%s\t%.2f\t%.0f\t%d\t%d\t%d\t%.0f\n", s.Organisation, s.Rate, s.Burst, s.Owner,
			s.Share, s.Available, s.Inside, s.Over, s.Unknown, s.Spent)
	}
	return w.Flush()
}

// A limitSum adds up what several gateways know, by organisation.
type limitSum struct {
	items []quota.Status
	// index is where each organisation stands in items.
	index map[string]int
}

// add adds what one gateway knows. What the owner alone has stands as it says.
func (l *limitSum) add(list []quota.Status) {
	if l.index == nil {
		l.index = make(map[string]int)
	}
	for _, s := range list {
		i, known := l.index[s.Organisation]
		if !known {
			l.index[s.Organisation] = len(l.items)
			l.items = append(l.items, s)
			continue
		}
		sum := &l.items[i]
		sum.Inside += s.Inside
		sum.Over += s.Over
		sum.Unknown += s.Unknown
		sum.Spent += s.Spent
		sum.Share, sum.Available = max(sum.Share, s.Share), max(sum.Available, s.Available)
	}
}
