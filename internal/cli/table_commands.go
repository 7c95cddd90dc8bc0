package cli

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// tableCommands returns the subcommands of table.
func (a *app) tableCommands() []*ffcli.Command {
	return []*ffcli.Command{
		a.showCommand(), a.exportCommand(), a.importCommand(), a.setCommand(), a.removeCommand(), a.diffCommand(),
		a.checkCommand(), a.historyCommand(),
	}
}

func (a *app) showCommand() *ffcli.Command {
	fs := a.flags("show")
	asJSON := fs.Bool("json", false, "print JSON")
	return a.command(commandHelp{
		name: "show", usage: "table show [-json]",
		short:   "Print the table in force.",
		example: "rockcleat table show",
	}, fs, func(ctx context.Context, _ []string) error { return a.show(ctx, *asJSON) })
}

func (a *app) exportCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "export", usage: "table export [FILE]",
		short:   "Write the table as CSV.",
		example: "rockcleat table export models.csv",
	}, a.flags("export"), a.export)
}

func (a *app) importCommand() *ffcli.Command {
	fs := a.flags("import")
	replace := fs.Bool("replace", false, "remove the rows that the file does not name")
	return a.command(commandHelp{
		name: "import", usage: "table import [-replace] FILE",
		short:   "Save the rows of a CSV file as one edit.",
		example: "rockcleat table import models.csv",
	}, fs, func(ctx context.Context, args []string) error { return a.importFile(ctx, args, *replace) })
}

func (a *app) setCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "set", usage: "table set NAME COLUMN=VALUE ...",
		short:   "Add a row or change some of its columns.",
		example: "rockcleat table set clue-draft tier=premium weight=3 queue_time=2s",
	}, a.flags("set"), a.set)
}

func (a *app) removeCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "remove", usage: "table remove NAME",
		short:   "Remove a row.",
		example: "rockcleat table remove clue-draft",
	}, a.flags("remove"), a.remove)
}

func (a *app) diffCommand() *ffcli.Command {
	fs := a.flags("diff")
	replace := replaceFlag(fs)
	return a.command(commandHelp{
		name: "diff", usage: "table diff [-replace] FILE",
		short:   "Print what importing a CSV file would change.",
		example: "rockcleat table diff models.csv",
	}, fs, func(ctx context.Context, args []string) error { return a.diff(ctx, args, *replace) })
}

func (a *app) checkCommand() *ffcli.Command {
	fs := a.flags("check")
	replace := replaceFlag(fs)
	return a.command(commandHelp{
		name: "check", usage: "table check [-replace] FILE",
		short:   "Check a CSV file against the system without saving it.",
		example: "rockcleat table check models.csv",
	}, fs, func(ctx context.Context, args []string) error { return a.check(ctx, args, *replace) })
}

// replaceFlag defines the flag -replace of commands that only compare a file with the table.
func replaceFlag(fs *flag.FlagSet) *bool {
	return fs.Bool("replace", false, "count rows that the file does not name as removed")
}

func (a *app) historyCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "history", usage: "table history",
		short:   "Print the latest edits, the newest last.",
		example: "rockcleat table history",
	}, a.flags("history"), a.history)
}
