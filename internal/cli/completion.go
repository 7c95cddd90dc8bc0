package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// completionScript is the bash completion script.
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

// completionCommand returns the command that prints the completion script.
func (a *app) completionCommand() *ffcli.Command {
	return a.command(commandHelp{
		name: "completion", usage: "completion",
		short:   "Print a bash completion script.",
		example: "source <(rockcleat completion)",
	}, a.flags("completion"), func(context.Context, []string) error {
		_, err := fmt.Fprint(a.out, completionScript)
		return err
	})
}
