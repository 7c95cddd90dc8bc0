package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"rockcleat/internal/wire"
	"rockcleat/table"
)

// stdinName stands for standard input as a file.
const stdinName = "-"

func (a *app) tableCommands() []*ffcli.Command {
	showFlags := a.flags("show")
	asJSON := showFlags.Bool("json", false, "print JSON")
	importFlags := a.flags("import")
	replace := importFlags.Bool("replace", false, "remove the rows that the file does not name")
	diffFlags := a.flags("diff")
	diffReplace := diffFlags.Bool("replace", false, "count rows that the file does not name as removed")
	checkFlags := a.flags("check")
	checkReplace := checkFlags.Bool("replace", false, "count rows that the file does not name as removed")
	return []*ffcli.Command{
		a.command(help{
			name: "show", usage: "table show [-json]",
			short:   "Print the table in force.",
			example: "rockcleat table show",
		}, showFlags,
			func(ctx context.Context, _ []string) error { return a.show(ctx, *asJSON) }),
		a.command(help{
			name: "export", usage: "table export [FILE]",
			short:   "Write the table as CSV.",
			example: "rockcleat table export models.csv",
		}, a.flags("export"), a.export),
		a.command(help{
			name: "import", usage: "table import [-replace] FILE",
			short:   "Save the rows of a CSV file as one edit.",
			example: "rockcleat table import models.csv",
		}, importFlags,
			func(ctx context.Context, args []string) error { return a.importFile(ctx, args, *replace) }),
		a.command(help{
			name: "set", usage: "table set NAME COLUMN=VALUE ...",
			short:   "Add a row or change some of its columns.",
			example: "rockcleat table set clue-draft tier=premium weight=3 queue_time=2s",
		}, a.flags("set"), a.set),
		a.command(help{
			name: "remove", usage: "table remove NAME",
			short:   "Remove a row.",
			example: "rockcleat table remove clue-draft",
		}, a.flags("remove"), a.remove),
		a.command(help{
			name: "diff", usage: "table diff [-replace] FILE",
			short:   "Print what importing a CSV file would change.",
			example: "rockcleat table diff models.csv",
		}, diffFlags,
			func(ctx context.Context, args []string) error { return a.diff(ctx, args, *diffReplace) }),
		a.command(help{
			name: "check", usage: "table check [-replace] FILE",
			short:   "Check a CSV file against the system without saving it.",
			example: "rockcleat table check models.csv",
		}, checkFlags,
			func(ctx context.Context, args []string) error { return a.check(ctx, args, *checkReplace) }),
		a.command(help{
			name: "history", usage: "table history",
			short:   "Print the latest edits, the newest last.",
			example: "rockcleat table history",
		}, a.flags("history"), a.history),
	}
}

func (a *app) load(ctx context.Context) (wire.TableAnswer, error) {
	var t wire.TableAnswer
	err := a.get(ctx, wire.PathTable, &t)
	return t, err
}

func (a *app) show(ctx context.Context, asJSON bool) error {
	t, err := a.load(ctx)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(a.out, t)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(table.Columns, "\t")))
	for _, r := range t.Rows {
		fmt.Fprintln(w, strings.Join(r.Cells(), "\t"))
	}
	fmt.Fprintf(w, "\nversion %d, %d rows\n", t.Version, len(t.Rows))
	return w.Flush()
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (a *app) export(ctx context.Context, args []string) error {
	if err := need(args, 0, 1, "at most one FILE"); err != nil {
		return err
	}
	t, err := a.load(ctx)
	if err != nil {
		return err
	}
	if len(args) == 0 || args[0] == stdinName {
		return table.WriteCSV(a.out, t.Rows)
	}
	f, err := os.Create(args[0])
	if err != nil {
		return err
	}
	return errors.Join(table.WriteCSV(f, t.Rows), f.Close())
}

// readRows reads a CSV file or standard input.
func (a *app) readRows(name string) ([]table.Row, error) {
	if name == stdinName {
		return table.ReadCSV(a.in)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return table.ReadCSV(f)
}

// changesFrom returns what makes the table in force hold the file's rows.
func (a *app) changesFrom(ctx context.Context, args []string, replace bool) ([]table.Change, wire.TableAnswer, error) {
	if err := need(args, 1, 1, "one FILE, or - for standard input"); err != nil {
		return nil, wire.TableAnswer{}, err
	}
	rows, err := a.readRows(args[0])
	if err != nil {
		return nil, wire.TableAnswer{}, err
	}
	now, err := a.load(ctx)
	if err != nil {
		return nil, now, err
	}
	return table.Diff(now.Rows, rows, replace), now, nil
}

func (a *app) importFile(ctx context.Context, args []string, replace bool) error {
	changes, now, err := a.changesFrom(ctx, args, replace)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintf(a.out, "nothing to change; version %d\n", now.Version)
		return nil
	}
	return a.saveAndTell(ctx, changes)
}

func (a *app) saveAndTell(ctx context.Context, changes []table.Change) error {
	version, err := a.save(ctx, changes)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "saved %d rows; version %d\n", len(changes), version)
	return nil
}

func (a *app) set(ctx context.Context, args []string) error {
	if err := need(args, 2, -1, "NAME and at least one COLUMN=VALUE"); err != nil {
		return err
	}
	t, err := a.load(ctx)
	if err != nil {
		return err
	}
	row, seen := find(t.Rows, args[0])
	for _, arg := range args[1:] {
		column, value, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("%w: %q is not COLUMN=VALUE", errUsage, arg)
		}
		if err := row.Set(column, value); err != nil {
			return err
		}
	}
	return a.saveAndTell(ctx, []table.Change{{Name: args[0], Seen: seen, Row: &row}})
}

// find returns the row of a name and its version, or a new row and 0.
func find(rows []table.Row, name string) (table.Row, uint64) {
	for _, r := range rows {
		if r.Name == name {
			return r, r.Version
		}
	}
	return table.NewRow(name), 0
}

func (a *app) remove(ctx context.Context, args []string) error {
	if err := need(args, 1, 1, "one NAME"); err != nil {
		return err
	}
	t, err := a.load(ctx)
	if err != nil {
		return err
	}
	_, seen := find(t.Rows, args[0])
	if seen == 0 {
		return fmt.Errorf("no row %q", args[0])
	}
	return a.saveAndTell(ctx, []table.Change{{Name: args[0], Seen: seen}})
}

func (a *app) diff(ctx context.Context, args []string, replace bool) error {
	changes, now, err := a.changesFrom(ctx, args, replace)
	if err != nil {
		return err
	}
	for _, c := range changes {
		old, seen := find(now.Rows, c.Name)
		if seen > 0 {
			fmt.Fprintln(a.out, "-", strings.Join(old.Cells(), ","))
		}
		if c.Row != nil {
			fmt.Fprintln(a.out, "+", strings.Join(c.Row.Cells(), ","))
		}
	}
	fmt.Fprintf(a.out, "%d rows differ from version %d\n", len(changes), now.Version)
	return nil
}

func (a *app) check(ctx context.Context, args []string, replace bool) error {
	changes, now, err := a.changesFrom(ctx, args, replace)
	if err != nil {
		return err
	}
	c, err := a.client()
	if err != nil {
		return err
	}
	r := wire.SaveRequest{Edit: table.Edit{Changes: changes}}
	if err := c.Post(ctx, a.entries()[0], wire.PathTableCheck, r, nil); err != nil {
		if final, _ := saveError(err); final != nil {
			return a.printErrors(final)
		}
		return err
	}
	fmt.Fprintf(a.out, "ok: %d rows would change from version %d\n", len(changes), now.Version)
	return nil
}

// printErrors prints every error of a check, one a line.
func (a *app) printErrors(err error) error {
	var invalid *table.InvalidError
	if errors.As(err, &invalid) {
		for _, e := range invalid.Errors {
			fmt.Fprintln(a.err, e.Error())
		}
	}
	return err
}

func (a *app) history(ctx context.Context, _ []string) error {
	var h wire.HistoryAnswer
	if err := a.get(ctx, wire.PathHistory, &h); err != nil {
		return err
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tTIME\tAUTHOR\tEDIT\tROWS")
	for _, e := range h.Edits {
		var names []string
		for _, c := range e.Changes {
			name := c.Name
			if c.Row == nil {
				name = "-" + name
			}
			names = append(names, name)
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, time.Unix(e.Time, 0).UTC().Format(time.RFC3339), e.Author, e.ID, shorten(names))
	}
	return w.Flush()
}

// shownNames is the number of row names that the history prints of an edit.
const shownNames = 5

func shorten(names []string) string {
	if len(names) > shownNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:shownNames], " "), len(names)-shownNames)
	}
	return strings.Join(names, " ")
}
