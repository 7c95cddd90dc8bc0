package cli

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// tableCommands returns the subcommands of table.
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
