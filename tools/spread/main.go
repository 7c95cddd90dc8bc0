// Command spread reads the logs of many gateways on its standard input and prints how long an event
// takes to reach all of them.
//
// Each line holds a JSON log entry, which may follow other text. Lines without one are ignored.
//
//	spread -event "configuration in force" -field version
//
// prints, for each version, the number of gateways that have logged the event and the time from the
// first of them to half, to 95 of 100, and to all. With -since, times count from the gateway's own
// last entry with that message instead, such as "started", and earlier events are ignored.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line. Longer lines end the input with an error.
const maxLineBytes = 1 << 20

// An entry is the part of a log entry that is evaluated. ts is in milliseconds.
type entry struct {
	Message string  `json:"msg"`
	VM      string  `json:"vm"`
	TS      float64 `json:"ts"`
}

// A query selects the events to evaluate.
type query struct {
	// event is the message of the events, field the log field that tells them apart; it may be empty.
	event, field string
	// since, if not empty, is the message of the entries that times count from.
	since string
}

// A spread holds the times of one event.
type spread struct {
	key   string
	times []time.Duration
}

// percentile returns the time within which a percentage of the gateways have logged the event.
func (s spread) percentile(p int) time.Duration {
	return s.times[(len(s.times)*p+99)/100-1]
}

func main() {
	var q query
	flag.StringVar(&q.event, "event", "configuration in force", "message of the events")
	flag.StringVar(&q.field, "field", "", "log field that tells events apart")
	flag.StringVar(&q.since, "since", "", "message of the entries of the same gateway that times count from")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, q); err != nil {
		fmt.Fprintln(os.Stderr, "spread:", err)
		os.Exit(1)
	}
}

// run evaluates the log read from in and prints a line for each event.
func run(in io.Reader, out io.Writer, q query) error {
	spreads, err := read(in, q)
	if err != nil {
		return err
	}
	for _, s := range spreads {
		fmt.Fprintf(out, "%-24s %4d gateways  half %v  95%% %v  all %v\n", s.key, len(s.times),
			s.percentile(50), s.percentile(95), s.percentile(100))
	}
	return nil
}

// read returns the spreads of the events in a log, sorted by key.
func read(in io.Reader, q query) ([]spread, error) {
	began := make(map[string]float64)
	first := make(map[string]map[string]float64)
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		e, fields, ok := decode(lines.Bytes())
		if !ok {
			continue
		}
		if e.Message == q.since {
			began[e.VM] = e.TS
			for _, byVM := range first {
				delete(byVM, e.VM)
			}
		}
		if e.Message != q.event {
			continue
		}
		if q.since != "" {
			e.TS -= began[e.VM]
		}
		key := strings.Trim(string(fields[q.field]), `"`)
		if first[key] == nil {
			first[key] = make(map[string]float64)
		}
		if _, seen := first[key][e.VM]; !seen {
			first[key][e.VM] = e.TS
		}
	}
	return spreadsOf(first, q.since != ""), lines.Err()
}

// decode returns the log entry in a line and its fields, if the line holds one.
func decode(line []byte) (e entry, fields map[string]json.RawMessage, ok bool) {
	start := slices.Index(line, '{')
	if start < 0 {
		return entry{}, nil, false
	}
	data := line[start:]
	if json.Unmarshal(data, &e) != nil || json.Unmarshal(data, &fields) != nil {
		return entry{}, nil, false
	}
	return e, fields, true
}

// spreadsOf converts the times in milliseconds of each event by gateway. Unless they are relative, they count from the
// earliest of the event.
func spreadsOf(first map[string]map[string]float64, relative bool) []spread {
	var spreads []spread
	for _, key := range slices.Sorted(maps.Keys(first)) {
		times := slices.Sorted(maps.Values(first[key]))
		if len(times) == 0 {
			continue
		}
		origin := times[0]
		if relative {
			origin = 0
		}
		s := spread{key: key}
		for _, ms := range times {
			s.times = append(s.times, time.Duration((ms-origin)*float64(time.Millisecond)).Round(time.Millisecond))
		}
		spreads = append(spreads, s)
	}
	return spreads
}
