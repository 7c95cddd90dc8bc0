package main

import (
	"fmt"
	"math"
)

// A day holds what the log shows.
type day struct {
	rows map[rowKey]*row
	// loads holds the owners' counts by second, services the service of each server to which requests were sent.
	loads    map[int64][]entry
	services map[string]string
	// pending holds the entries about answered requests of each gateway since its last statement of entries left out.
	pending map[string][]entry
	// scaled and unscaled are the numbers of requests that were left out of the log and are counted by the others, or not at
	// all since there are no others.
	scaled, unscaled int
}

type rowKey struct {
	second  int64
	service string
}

// A row is one second of a service. inUse and notLogged are means over the second.
type row struct {
	refused          int
	inUse, notLogged float64
	owned            ownerCount
}

// An ownerCount is the sum of the owners' counts.
type ownerCount struct {
	known                  bool
	running, slots, queued int
}

// String returns the columns of the count.
func (c ownerCount) String() string {
	if !c.known {
		return "- - -"
	}
	return fmt.Sprint(c.running, " ", c.slots, " ", c.queued)
}

func newDay() *day {
	return &day{
		rows: make(map[rowKey]*row), loads: make(map[int64][]entry), services: make(map[string]string),
		pending: make(map[string][]entry),
	}
}

// row returns the row of a second of a service.
func (d *day) row(second int64, service string) *row {
	k := rowKey{second, service}
	if d.rows[k] == nil {
		d.rows[k] = &row{}
	}
	return d.rows[k]
}

// requestEnded adds a request. Those about which entries were left out before it are counted with the entries since the
// last such statement, and with this one.
func (d *day) requestEnded(e entry, gateway string) {
	if e.Outcome == outcomeRefuse {
		d.row(second(e.TS), e.Service).refused++
	}
	d.occupy(e, 1, false)
	if e.Outcome == outcomeAnswer {
		d.pending[gateway] = append(d.pending[gateway], e)
	}
	if e.LeftOut > 0 {
		d.scale(e.LeftOut, d.pending[gateway])
		d.pending[gateway] = nil
	}
}

// scale counts requests that were left out as if they were like those of the given entries.
func (d *day) scale(leftOut int, answered []entry) {
	if len(answered) == 0 {
		d.unscaled += leftOut
		return
	}
	d.scaled += leftOut
	for _, e := range answered {
		d.occupy(e, float64(leftOut)/float64(len(answered)), true)
	}
}

// occupy adds the time for which a request had a slot, weighted.
func (d *day) occupy(e entry, weight float64, notLogged bool) {
	if e.Sends == 0 || e.Server == "" {
		return
	}
	d.services[e.Server] = e.Service
	end := e.TS / 1000
	begin := end - max(e.Total-e.Waited, 0)
	for s := math.Floor(begin); s < end; s++ {
		part := weight * (min(end, s+1) - max(begin, s))
		r := d.row(int64(s), e.Service)
		r.inUse += part
		if notLogged {
			r.notLogged += part
		}
	}
}

// finish adds the owners' counts.
func (d *day) finish() {
	for second, entries := range d.loads {
		last := make(map[string]entry)
		for _, e := range entries {
			if e.TS >= last[e.Server].TS {
				last[e.Server] = e
			}
		}
		for server, e := range last {
			c := &d.row(second, d.services[server]).owned
			c.known = true
			c.running += e.Running
			c.slots += e.Slots
			c.queued += e.Queued
		}
	}
}

// firstSecond returns the first second of the table.
func (d *day) firstSecond() int64 {
	first := int64(math.MaxInt64)
	for k := range d.rows {
		first = min(first, k.second)
	}
	return first
}
