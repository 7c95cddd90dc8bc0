package cli

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/wire"
	"rockcleat/quota"
)

// limitsCommand returns the command that prints the rate limits of organisations and backend servers.
func (a *app) limitsCommand() *ffcli.Command {
	fs := a.flags("limits")
	gateways := fs.String("gateways", "", "peer_listen addresses of gateways, separated by commas; all of them for whole sums")
	asJSON := fs.Bool("json", false, "print JSON")
	return a.command(commandHelp{
		name: "limits", usage: "limits -gateways ADDR[,ADDR...] [-json]",
		short:   "Print the limits of organisations and of servers in need, which gateway grants each, and what was decided since the gateways' start.",
		example: "rockcleat limits -gateways 10.1.0.38:8144,10.2.0.40:8144",
	}, fs, func(ctx context.Context, _ []string) error { return a.printLimits(ctx, *gateways, *asJSON) })
}

// printLimits prints the limits as the given gateways report them, with their counts summed.
func (a *app) printLimits(ctx context.Context, gateways string, asJSON bool) error {
	if gateways == "" {
		return fmt.Errorf("%w: -gateways is needed", errUsage)
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	var organisations, servers limitTotals
	for _, addr := range strings.Split(gateways, ",") {
		var list wire.LimitList
		if err := c.Get(ctx, addr, wire.PathLimits, &list); err != nil {
			return err
		}
		organisations.add(list.Items)
		servers.add(list.Servers)
	}
	if asJSON {
		return printJSON(a.out, wire.LimitList{Items: organisations.items, Servers: servers.items})
	}
	if err := a.printLimitTable("ORGANISATION", organisations.items); err != nil || len(servers.items) == 0 {
		return err
	}
	fmt.Fprintln(a.out)
	return a.printLimitTable("SERVER", servers.items)
}

// printLimitTable prints limits as a table. heading is the heading of the first column.
func (a *app) printLimitTable(heading string, items []quota.Status) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, heading+"\tRATE/S\tBURST\tOWNER\tSHARE\tAVAILABLE\tINSIDE\tOVER\tUNKNOWN\tSPENT\tREFUNDED\tOWN SHARE")
	for _, s := range items {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\t%s\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\n", s.Key, formatAmount(s.Rate), formatAmount(s.Burst), s.Owner,
			s.Share, formatAmount(s.Available), s.Inside, s.Over, s.Unknown, s.Spent, s.Refunded, s.OwnShare)
	}
	return w.Flush()
}

// formatAmount formats a number in the unit of its limit. Fractions below 100 have two decimal places,
// all other values none.
func formatAmount(x float64) string {
	if x != 0 && x < 100 && x != math.Trunc(x) {
		return strconv.FormatFloat(x, 'f', 2, 64)
	}
	return strconv.FormatFloat(x, 'f', 0, 64)
}

// limitTotals merges the limits that several gateways report, by key.
type limitTotals struct {
	items []quota.Status
	// index maps a key to its position in items.
	index map[string]int
}

// add merges the limits that one gateway reports. Counts are summed. Of Share and Available, which only
// the owner of a limit reports, the maximum is kept. All other fields are those of the first report.
func (l *limitTotals) add(list []quota.Status) {
	if l.index == nil {
		l.index = make(map[string]int)
	}
	for _, s := range list {
		i, known := l.index[s.Key]
		if !known {
			l.index[s.Key] = len(l.items)
			l.items = append(l.items, s)
			continue
		}
		sum := &l.items[i]
		sum.Inside += s.Inside
		sum.Over += s.Over
		sum.Unknown += s.Unknown
		sum.Spent += s.Spent
		sum.Refunded += s.Refunded
		sum.OwnShare += s.OwnShare
		sum.Share, sum.Available = max(sum.Share, s.Share), max(sum.Available, s.Available)
	}
}
