package cli

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/fleet"
	"rockcleat/internal/config"
	"rockcleat/internal/wire"
)

func (a *app) statusCommand() *ffcli.Command {
	fs := a.flags("status")
	asJSON := fs.Bool("json", false, "print JSON")
	return a.command(help{
		name: "status", usage: "status [-json]",
		short:   "Print the VMs, backend servers, what is resident, queues and the table version on each VM.",
		example: "rockcleat status",
	}, fs, func(ctx context.Context, _ []string) error { return a.status(ctx, *asJSON) })
}

func (a *app) status(ctx context.Context, asJSON bool) error {
	var s wire.StatusAnswer
	if err := a.get(ctx, wire.PathStatus+"?versions=1", &s); err != nil {
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

func (a *app) whyCommand() *ffcli.Command {
	return a.command(help{
		name: "why", usage: "why [NAME]",
		short:   "Print the latest decisions, or those about one row, with their reasons.",
		example: "rockcleat why clue-draft",
	}, a.flags("why"), a.why)
}

func (a *app) why(ctx context.Context, args []string) error {
	if err := need(args, 0, 1, "at most one NAME"); err != nil {
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
		var d wire.DecisionsAnswer
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

func (a *app) configCheck() *ffcli.Command {
	fs := a.flags("check")
	role := fs.String("role", "entry", "entry, agent or gateway")
	return a.command(help{
		name: "check", usage: "config check [-role entry|agent|gateway] FILE",
		short:   "Check a settings file as the daemon would.",
		example: "rockcleat config check -role agent agent.yaml",
	}, fs,
		func(_ context.Context, args []string) error { return a.checkConfig(args, *role) })
}

func (a *app) checkConfig(args []string, role string) error {
	if err := need(args, 1, 1, "one FILE"); err != nil {
		return err
	}
	var into config.Settings
	switch role {
	case "entry":
		into = &config.Entry{}
	case "agent":
		into = &config.Agent{}
	case "gateway":
		into = &config.Gateway{}
	default:
		return fmt.Errorf("%w: role %q is not entry, agent or gateway", errUsage, role)
	}
	if err := config.Read(args[0], into); err != nil {
		return err
	}
	fmt.Fprintf(a.out, "%s: ok\n", args[0])
	return nil
}

// completionScript completes commands in bash.
const completionScript = `_rockcleat() {
  local words="${COMP_WORDS[*]:1:COMP_CWORD-1}"
  case "$words" in
    "") COMPREPLY=($(compgen -W "table status why trace config completion" -- "${COMP_WORDS[COMP_CWORD]}")) ;;
    table) COMPREPLY=($(compgen -W "show export import set remove diff check history" -- "${COMP_WORDS[COMP_CWORD]}")) ;;
    config) COMPREPLY=($(compgen -W "check" -- "${COMP_WORDS[COMP_CWORD]}")) ;;
    *) COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}")) ;;
  esac
}
complete -F _rockcleat rockcleat
`

func (a *app) completion() *ffcli.Command {
	return a.command(help{
		name: "completion", usage: "completion",
		short:   "Print a bash completion script.",
		example: "source <(rockcleat completion)",
	}, a.flags("completion"), func(context.Context, []string) error {
		_, err := fmt.Fprint(a.out, completionScript)
		return err
	})
}
