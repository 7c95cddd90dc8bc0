// Command slots reads the logs of many gateways on its standard input and prints, for each second and service, how
// many requests were refused and how many slots of the servers were in use.
//
// Each line holds a JSON log entry, which may follow other text. Lines without one are ignored.
//
//	go run ./tools/slots < LOG
//
// A request is refused in the second of its entry. It occupies a slot of the server to which it was sent last from its
// send, which is its end less its duration plus the time that it waited, to its end; in_use is the mean over the second.
// Gateways limit the rate of entries about answered requests. The next entry states how many they left out: they
// are divided among the entries about answered requests of the same gateway since its previous statement, and counted as
// if each were like those. not_logged is the part of in_use that is added so; if it is large, in_use is an estimate.
//
// The last three columns are the owners' own counts, from entries "server load": of each server the last one in
// the second, summed. They are "-" in a second without one. A server is assigned to the service of the requests that were
// sent to it.
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
)

// maxLineBytes is the maximum length of a line. Longer lines end the input with an error.
const maxLineBytes = 1 << 20

// Messages and outcomes of log entries that are evaluated.
const (
	messageEnded  = "request ended"
	messageLoad   = "server load"
	outcomeAnswer = "answered"
	outcomeRefuse = "refused"
)

// An entry is the part of a log entry that is evaluated. TS is in milliseconds.
type entry struct {
	Message string  `json:"msg"`
	VM      string  `json:"vm"`
	TS      float64 `json:"ts"`
	Service string  `json:"service"`
	Outcome string  `json:"outcome"`
	Sends   int     `json:"sends"`
	Total   float64 `json:"total_s"`
	Waited  float64 `json:"waited_s"`
	Server  string  `json:"server"`
	LeftOut int     `json:"left_out"`
	Running int     `json:"running"`
	Slots   int     `json:"slots"`
	Queued  int     `json:"queued"`
}

// gateway returns the gateway that an entry is from: its field vm, or the name before the entry.
func (e entry) gateway(prefix string) string { return cmp.Or(e.VM, prefix) }

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "slots:", err)
		os.Exit(1)
	}
}

// run evaluates the log read from in and prints a table.
func run(in io.Reader, out io.Writer) error {
	d := newDay()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		d.read(lines.Bytes())
	}
	d.finish()
	d.print(out)
	return lines.Err()
}

// read evaluates a line.
func (d *day) read(line []byte) {
	start := slices.Index(line, '{')
	if start < 0 {
		return
	}
	var e entry
	if json.Unmarshal(line[start:], &e) != nil {
		return
	}
	switch e.Message {
	case messageEnded:
		d.requestEnded(e, e.gateway(nameIn(line[:start])))
	case messageLoad:
		d.loads[second(e.TS)] = append(d.loads[second(e.TS)], e)
	}
}

// nameIn returns the name of the VM in the text before an entry, which is a time and the name.
func nameIn(prefix []byte) string {
	var seconds, name string
	if n, _ := fmt.Sscan(string(prefix), &seconds, &name); n < 2 {
		return ""
	}
	return name
}

// second returns the second of a time in milliseconds.
func second(ms float64) int64 { return int64(ms / 1000) }

// print prints the table, ordered by second and service.
func (d *day) print(out io.Writer) {
	fmt.Fprintln(out, "second service refused in_use not_logged owner_running owner_slots owner_queued")
	rows := slices.SortedFunc(maps.Keys(d.rows), func(a, b rowKey) int {
		return cmp.Or(cmp.Compare(a.second, b.second), cmp.Compare(a.service, b.service))
	})
	first := d.firstSecond()
	for _, k := range rows {
		r := d.rows[k]
		fmt.Fprintf(out, "%d %s %d %.1f %.1f %s\n", k.second-first, k.service, r.refused, r.inUse, r.notLogged, r.owned)
	}
	fmt.Fprintf(out, "requests not logged: %d counted like logged ones, %d not counted\n", d.scaled, d.unscaled)
}
