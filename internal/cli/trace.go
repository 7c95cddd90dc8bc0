package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// errNoLogLine is returned if no log line matches the request, digest or part.
var errNoLogLine = errors.New("no line speaks of this request; answered ones are logged up to a rate, see docs/OPERATIONS.md")

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// omittedFields are the log fields that the output leaves out or shows outside the list of fields.
var omittedFields = map[string]bool{
	"level": true, "ts": true, "msg": true, "role": true, "vm": true, "request": true,
}

// aroundMargin is how long before the first and after the last line of a request the flag -around
// extends the output.
const aroundMargin = 3 * time.Second

// A logLine is one parsed line of a process's log. at is in milliseconds since the Unix epoch.
type logLine struct {
	at     float64
	vm     string
	msg    string
	fields map[string]any
}

func (l logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func (a *app) traceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("trace", flag.ContinueOnError)
	fs.SetOutput(a.err)
	around := fs.Bool("around", false, "also tell what the logs say of the request's servers within 3 s of it")
	return a.command(commandHelp{
		name: "trace", usage: "trace [-around] REQUEST|DIGEST|PART FILE...",
		short:   "Follow one request, or all with one digest or one part in their prompts, through the collected logs of many processes.",
		example: "rockcleat trace -around 9c41d07be2a35f68 gateway-*.log",
	}, fs,
		func(_ context.Context, args []string) error { return a.trace(args, *around) })
}

func (a *app) trace(args []string, around bool) error {
	if err := checkArgCount(args, 2, -1, "REQUEST and at least one FILE"); err != nil {
		return err
	}
	var lines []logLine
	for _, file := range args[1:] {
		read, err := readLog(file, a.in)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	selected := selectLines(lines, args[0], around)
	if len(selected) == 0 {
		return errNoLogLine
	}
	for _, l := range selected {
		fmt.Fprintln(a.out, l.format())
	}
	return nil
}

// readLog reads the JSON log lines of a file, or of in if the file is "-". Text before the first brace
// of a line is ignored, as are lines that are not JSON.
func readLog(file string, in io.Reader) ([]logLine, error) {
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var lines []logLine
	s := bufio.NewScanner(in)
	s.Buffer(nil, maxLogLine)
	for s.Scan() {
		if l, ok := parseLine(s.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}

func parseLine(text string) (logLine, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return logLine{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal([]byte(text[i:]), &fields) != nil {
		return logLine{}, false
	}
	l := logLine{fields: fields}
	l.at, _ = fields["ts"].(float64)
	l.vm, l.msg = l.text("vm"), l.text("msg")
	return l, l.msg != ""
}

// matches reports whether the line concerns the request with the given id, or requests with that digest or part of their
// prompts.
func (l logLine) matches(id string) bool {
	for _, field := range []string{"request", "digest", "part"} {
		if l.text(field) == id {
			return true
		}
	}
	for _, field := range []string{"digests", "parts"} {
		if list, _ := l.fields[field].([]any); slices.Contains(list, any(id)) {
			return true
		}
	}
	return false
}

// selectLines returns the lines of a request, or of all requests with a digest or a part, sorted by time. If around
// is set, it also returns other lines within aroundMargin that concern the same servers or concern neither a
// request nor a server.
func selectLines(lines []logLine, id string, around bool) []logLine {
	var selected []logLine
	servers := make(map[string]bool)
	for _, l := range lines {
		if l.matches(id) {
			selected = append(selected, l)
			servers[l.text("server")] = l.text("server") != ""
		}
	}
	if len(selected) == 0 {
		return nil
	}
	byTime := func(x, y logLine) int { return cmp.Compare(x.at, y.at) }
	slices.SortStableFunc(selected, byTime)
	if !around {
		return selected
	}
	margin := float64(aroundMargin / time.Millisecond)
	from, to := selected[0].at-margin, selected[len(selected)-1].at+margin
	for _, l := range lines {
		other := !l.matches(id)
		if other && l.at >= from && l.at <= to && (servers[l.text("server")] || l.text("request") == "" && l.text("server") == "") {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, byTime)
	return selected
}

// format formats the line as time, VM, message and the remaining fields sorted by name.
func (l logLine) format() string {
	at := time.UnixMilli(int64(l.at)).UTC().Format("15:04:05.000")
	var parts []string
	for name, v := range l.fields {
		if !omittedFields[name] {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s %s %s: %s", at, l.vm, l.msg, strings.Join(parts, " "))
}
