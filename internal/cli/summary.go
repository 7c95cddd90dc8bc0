package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) summaryCommand() *ffcli.Command {
	fs := flag.NewFlagSet("summary", flag.ContinueOnError)
	fs.SetOutput(a.err)
	by := fs.String("by", string(byModel), "what rows stand for: "+groupingNames())
	most := fs.Int("most", 20, "rows to show, those with the most refused requests; 0 shows all")
	asJSON := fs.Bool("json", false, "print JSON instead of tables")
	return a.command(commandHelp{
		name: "summary", usage: "summary [-by model|route|second|gateway|organisation] [-most N] [-json] FILE...",
		short:   "Sum up the collected logs of many gateways: requests, moves of models, calls past the leader.",
		example: "rockcleat summary -by second gateway-*.log",
	}, fs,
		func(_ context.Context, args []string) error {
			return a.summary(args, summaryOptions{by: grouping(*by), maxRows: *most, asJSON: *asJSON})
		})
}

// groupingNames returns the names of all groupings, for help and error messages.
func groupingNames() string {
	names := make([]string, len(groupings))
	for i, g := range groupings {
		names[i] = string(g)
	}
	return strings.Join(names, ", ")
}

// summaryOptions are the flags of a summary.
type summaryOptions struct {
	by      grouping
	maxRows int
	asJSON  bool
}

func (a *app) summary(files []string, o summaryOptions) error {
	if err := checkArgCount(files, 1, -1, "at least one FILE"); err != nil {
		return err
	}
	if !o.by.isKnown() {
		return fmt.Errorf("%w: -by takes %s", errUsage, groupingNames())
	}
	s := newSummary(o.by)
	for _, file := range files {
		if err := s.readFile(file, a.in); err != nil {
			return err
		}
	}
	report := s.report(o.maxRows)
	if o.asJSON {
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	return report.print(a.out)
}

// readFile adds the lines of a file, or of in if the file is "-".
func (s *summary) readFile(file string, in io.Reader) error {
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		s.add(lines.Bytes())
	}
	return lines.Err()
}

func (r *summaryReport) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\trequests\tanswered\trefused\tcut\tother\tno holder\tover limit\trefused early\tasked each\tdenied each\twait p50 s\twait p99 s\tfirst byte p50 s\tp99 s\n", r.By)
	for _, row := range append(r.Rows, r.All) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.2f\n", row.Name, row.Requests, row.Answered,
			row.Refused, row.Cut, row.Other, row.NoHolder, row.OverLimit, row.RefusedEarly, row.AskedEach, row.DeniedEach, row.WaitP50, row.WaitP99,
			row.FirstByteP50, row.FirstByteP99)
	}
	m := r.Moves
	fmt.Fprintf(w, "\nmoves\tplanned\tloaded\tabandoned\tplan to loaded p50 s\tp90 s\n")
	fmt.Fprintf(w, "\t%d\t%d\t%d\t%.1f\t%.1f\n", m.Planned, m.Loaded, m.Abandoned, m.PlanToLoadedP50, m.PlanToLoadedP90)
	fmt.Fprintf(w, "\nevent\ttimes\n")
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s\t%d\n", e.Name, e.Count)
	}
	fmt.Fprintf(w, "\nanswered requests that were not logged\t%d\n", r.LeftOut)
	fmt.Fprintf(w, "lines read\t%d\nlines that are not a log's\t%d\n", r.Lines, r.Malformed)
	return w.Flush()
}
