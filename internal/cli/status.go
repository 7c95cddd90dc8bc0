package cli

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/fleet"
	"rockcleat/internal/wire"
)

// statusCommand returns the command that prints an entry's view of the system.
func (a *app) statusCommand() *ffcli.Command {
	fs := a.flags("status")
	asJSON := fs.Bool("json", false, "print JSON")
	return a.command(commandHelp{
		name: "status", usage: "status [-json]",
		short:   "Print the VMs, backend servers, what is resident, queues and the table version on each VM.",
		example: "rockcleat status",
	}, fs, func(ctx context.Context, _ []string) error { return a.status(ctx, *asJSON) })
}

// status prints an entry's view of VMs, backend servers and table versions.
func (a *app) status(ctx context.Context, asJSON bool) error {
	var s wire.StatusResponse
	if err := a.getFromEntries(ctx, wire.PathStatus+"?versions=1", &s); err != nil {
		return err
	}
	if asJSON {
		return printJSON(a.out, s)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tROLE\tHALL\tADDRESS\tSTATE\tTABLE\tWAITING\tRUNNING")
	for _, v := range s.VMs {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", v.ID, v.Role, v.Hall, v.Addr, v.State, v.TableVersion, v.Waiting, v.Running)
	}
	fmt.Fprintln(w, "\nSERVER\tACCELERATOR\tUSED MiB\tMEMORY MiB\tRESIDENT")
	for _, srv := range s.Servers {
		printServer(w, srv)
	}
	fmt.Fprintf(w, "\nasked entry %s, table version %d, cells planned there: %s\n", s.Entry, s.TableVersion, strings.Join(s.Cells, " "))
	return w.Flush()
}

// printServer prints the services of a backend server and the models and adapters that are resident
// on each of its accelerators.
func printServer(w *tabwriter.Writer, s fleet.Server) {
	if len(s.Services) > 0 {
		fmt.Fprintf(w, "%s\t-\t-\t-\t%s\n", s.ID, strings.Join(s.Services, " "))
	}
	for i, acc := range s.Accelerators {
		var names []string
		for _, r := range s.Residents {
			if r.Accelerator != i {
				continue
			}
			name := r.Name
			if r.State != fleet.StateReady {
				name += "(" + string(r.State) + ")"
			}
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", s.ID, i, acc.ReservedMiB, acc.MemoryMiB, strings.Join(names, " "))
	}
}
