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

	"rockcleat/internal/wire"
	"rockcleat/table"
)

// stdinName is the file name that means standard input or output.
const stdinName = "-"

// fetchTable fetches the current table from an entry.
func (a *app) fetchTable(ctx context.Context) (wire.TableResponse, error) {
	var t wire.TableResponse
	err := a.getFromEntries(ctx, wire.PathTable, &t)
	return t, err
}

// show prints the current table.
func (a *app) show(ctx context.Context, asJSON bool) error {
	t, err := a.fetchTable(ctx)
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

// export writes the current table as CSV to a file or standard output.
func (a *app) export(ctx context.Context, args []string) error {
	if err := checkArgCount(args, 0, 1, "at most one FILE"); err != nil {
		return err
	}
	t, err := a.fetchTable(ctx)
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

// diff prints the changes that an import of a file would make.
func (a *app) diff(ctx context.Context, args []string, replace bool) error {
	changes, current, err := a.changesFrom(ctx, args, replace)
	if err != nil {
		return err
	}
	for _, c := range changes {
		old, version := findRow(current.Rows, c.Name)
		if version > 0 {
			fmt.Fprintln(a.out, "-", strings.Join(old.Cells(), ","))
		}
		if c.Row != nil {
			fmt.Fprintln(a.out, "+", strings.Join(c.Row.Cells(), ","))
		}
	}
	fmt.Fprintf(a.out, "%d rows differ from version %d\n", len(changes), current.Version)
	return nil
}

// check asks the first entry to validate the rows of a file without saving them.
func (a *app) check(ctx context.Context, args []string, replace bool) error {
	changes, current, err := a.changesFrom(ctx, args, replace)
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
	fmt.Fprintf(a.out, "ok: %d rows would change from version %d\n", len(changes), current.Version)
	return nil
}

// printErrors prints each validation error on a line of its own and returns err.
func (a *app) printErrors(err error) error {
	var invalid *table.InvalidError
	if errors.As(err, &invalid) {
		for _, e := range invalid.Errors {
			fmt.Fprintln(a.err, e.Error())
		}
	}
	return err
}

// history prints the latest edits in the order of the entry's response.
func (a *app) history(ctx context.Context, _ []string) error {
	var h wire.HistoryResponse
	if err := a.getFromEntries(ctx, wire.PathHistory, &h); err != nil {
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
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Version, time.Unix(e.Time, 0).UTC().Format(time.RFC3339), e.Author, e.ID, joinNames(names))
	}
	return w.Flush()
}

// maxHistoryNames is the maximum number of row names that the history prints for an edit.
const maxHistoryNames = 5

// joinNames joins at most maxHistoryNames names and states the number of the others.
func joinNames(names []string) string {
	if len(names) > maxHistoryNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxHistoryNames], " "), len(names)-maxHistoryNames)
	}
	return strings.Join(names, " ")
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
