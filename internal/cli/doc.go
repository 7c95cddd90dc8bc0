// Package cli is the operators' command line.
//
// It speaks to any entry's control address. A save that got no answer is sent
// again, to the next entry if there is one, under the same edit id, so that it
// takes effect once.
//
// Files go by command: table_commands.go names the commands on the table, table_read.go and
// table_edit.go do them, save.go saves; status.go, why.go, trace.go, check_settings.go and
// completion.go are the others. The exit code says what became of the command. It owns nothing
// beyond one run; checks and versions are those of package table, at the entry.
package cli
