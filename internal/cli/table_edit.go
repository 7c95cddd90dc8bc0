package cli

import (
	"context"
	"fmt"
	"os"
	"strings"

	"rockcleat/internal/wire"
	"rockcleat/table"
)

// importFile saves the rows of a CSV file as one edit.
func (a *app) importFile(ctx context.Context, args []string, replace bool) error {
	changes, current, err := a.changesFrom(ctx, args, replace)
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		fmt.Fprintf(a.out, "nothing to change; version %d\n", current.Version)
		return nil
	}
	return a.saveAndPrint(ctx, changes)
}

// set adds a row or changes columns of an existing one.
func (a *app) set(ctx context.Context, args []string) error {
	if err := checkArgCount(args, 2, -1, "NAME and at least one COLUMN=VALUE"); err != nil {
		return err
	}
	t, err := a.fetchTable(ctx)
	if err != nil {
		return err
	}
	row, version := findRow(t.Rows, args[0])
	for _, arg := range args[1:] {
		column, value, ok := strings.Cut(arg, "=")
		if !ok {
			return fmt.Errorf("%w: %q is not COLUMN=VALUE", errUsage, arg)
		}
		if err := row.Set(column, value); err != nil {
			return err
		}
	}
	return a.saveAndPrint(ctx, []table.Change{{Name: args[0], ExpectedVersion: version, Row: &row}})
}

func (a *app) remove(ctx context.Context, args []string) error {
	if err := checkArgCount(args, 1, 1, "one NAME"); err != nil {
		return err
	}
	t, err := a.fetchTable(ctx)
	if err != nil {
		return err
	}
	_, version := findRow(t.Rows, args[0])
	if version == 0 {
		return fmt.Errorf("no row %q", args[0])
	}
	return a.saveAndPrint(ctx, []table.Change{{Name: args[0], ExpectedVersion: version}})
}

// findRow returns the row with the given name and its version, or a new row and version 0.
func findRow(rows []table.Row, name string) (table.Row, uint64) {
	for _, r := range rows {
		if r.Name == name {
			return r, r.Version
		}
	}
	return table.NewRow(name), 0
}

// readRows reads rows from a CSV file, or from standard input if name is stdinName.
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

// changesFrom returns the changes that give the current table the rows of a file, and the current
// table. If replace is set, rows that the file lacks are removed.
func (a *app) changesFrom(ctx context.Context, args []string, replace bool) ([]table.Change, wire.TableResponse, error) {
	if err := checkArgCount(args, 1, 1, "one FILE, or - for standard input"); err != nil {
		return nil, wire.TableResponse{}, err
	}
	rows, err := a.readRows(args[0])
	if err != nil {
		return nil, wire.TableResponse{}, err
	}
	current, err := a.fetchTable(ctx)
	if err != nil {
		return nil, current, err
	}
	return table.Diff(current.Rows, rows, replace), current, nil
}

// saveAndPrint saves the changes as one edit and prints the resulting table version.
func (a *app) saveAndPrint(ctx context.Context, changes []table.Change) error {
	version, err := a.save(ctx, changes)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.out, "saved %d rows; version %d\n", len(changes), version)
	return nil
}
