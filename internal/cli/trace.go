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

// errNoTrace says that no line speaks of the request.
var errNoTrace = errors.New("no line speaks of this request; answered ones are logged up to a rate, see docs/OPERATIONS.md")

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// Fields of a log line that a story does not repeat.
var skippedFields = map[string]bool{
	"level": true, "ts": true, "msg": true, "role": true, "vm": true, "request": true,
}

// aroundTime is how long before and after a request's lines those on its servers are
// shown too.
const aroundTime = 3 * time.Second

// A logLine is one line of a process's log.
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
	return a.command(help{
		name: "trace", usage: "trace [-around] REQUEST|DIGEST FILE...",
		short:   "Follow one request, or all copies with one digest, through the collected logs of many processes.",
		example: "rockcleat trace -around 9c41d07be2a35f68 gateway-*.log",
	}, fs,
		func(_ context.Context, args []string) error { return a.trace(args, *around) })
}

func (a *app) trace(args []string, around bool) error {
	if err := need(args, 2, -1, "REQUEST and at least one FILE"); err != nil {
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
	story := choose(lines, args[0], around)
	if len(story) == 0 {
		return errNoTrace
	}
	for _, l := range story {
		fmt.Fprintln(a.out, l.story())
	}
	return nil
}

// readLog reads the JSON lines of a file, or of standard input for "-". What
// stands before a line's first brace, and lines that are not JSON, are passed over.
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

// isOf reports whether a line tells of a request, by its id, or of a copy of it, by its digest.
func (l logLine) isOf(id string) bool {
	if l.text("request") == id || l.text("digest") == id {
		return true
	}
	digests, _ := l.fields["digests"].([]any)
	return slices.Contains(digests, any(id))
}

// choose returns the lines of a request, or of all copies with a digest, in the order of time and, with
// around, those on its servers near it.
func choose(lines []logLine, id string, around bool) []logLine {
	var story []logLine
	servers := make(map[string]bool)
	for _, l := range lines {
		if l.isOf(id) {
			story = append(story, l)
			servers[l.text("server")] = l.text("server") != ""
		}
	}
	if len(story) == 0 {
		return nil
	}
	byTime := func(x, y logLine) int { return cmp.Compare(x.at, y.at) }
	slices.SortStableFunc(story, byTime)
	if !around {
		return story
	}
	margin := float64(aroundTime / time.Millisecond)
	from, to := story[0].at-margin, story[len(story)-1].at+margin
	for _, l := range lines {
		other := !l.isOf(id)
		if other && l.at >= from && l.at <= to && (servers[l.text("server")] || l.text("request") == "" && l.text("server") == "") {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, byTime)
	return story
}

// story returns the line for a reader: time, process, what happened, and its fields.
func (l logLine) story() string {
	at := time.UnixMilli(int64(l.at)).UTC().Format("15:04:05.000")
	var parts []string
	for name, v := range l.fields {
		if !skippedFields[name] {
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	return fmt.Sprintf("%s %s %s: %s", at, l.vm, l.msg, strings.Join(parts, " "))
}
