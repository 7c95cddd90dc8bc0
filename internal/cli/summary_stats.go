package cli

import (
	"bytes"
	"cmp"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

// A grouping says what the rows of a summary stand for.
type grouping string

// The groupings.
const (
	byModel        grouping = "model"
	byRoute        grouping = "route"
	bySecond       grouping = "second"
	byGateway      grouping = "gateway"
	byOrganisation grouping = "organisation"
)

// groupings are all of them, as the command's help names them.
var groupings = []grouping{byModel, byRoute, bySecond, byGateway, byOrganisation}

func (g grouping) isKnown() bool { return slices.Contains(groupings, g) }

// A summaryLine holds the fields of a log line that a summary needs.
type summaryLine struct {
	At      float64 `json:"ts"`
	VM      string  `json:"vm"`
	Message string  `json:"msg"`
	Model   string  `json:"model"`
	Route   string  `json:"route"`
	Outcome string  `json:"outcome"`
	Server  string  `json:"server"`
	Holders *int    `json:"holders"`
	Sends   int     `json:"sends"`
	Asked   int     `json:"asked"`
	Denied  int     `json:"denied"`
	WaitedS float64 `json:"waited_s"`
	FirstS  float64 `json:"first_s"`
	TotalS  float64 `json:"total_s"`
	LeftOut int     `json:"left_out"`
	// Organisation is whose key it came with, Status that of a request that was refused on its arrival.
	Organisation string `json:"customer"`
	Status       int    `json:"status"`
}

// Messages that a summary counts by themselves; the others that it knows are countedEvents.
const (
	messageRequest   = "request ended"
	messageRefused   = "request refused"
	messagePlanned   = "move planned"
	messageLoaded    = "model loaded"
	messageAbandoned = "move abandoned"
)

// countedEvents are the messages that show what a gateway did without the leader or the store, or that
// something was lost.
var countedEvents = []string{
	"leadership gained", "leadership lost", "owner did not answer", "quarantine ended", "report unanswered",
	"request quarantined", "sent again", "server ended", "server entry not usable", "server gone", "server limit",
	"server restarted",
	"started", "store no longer followed through", "store unreachable",
	"watching the store directly",
}

// A moveKey names a move under way.
type moveKey struct{ server, model string }

// A summary adds up log lines. Its memory grows with the number of rows and of moves under way, not
// with that of lines.
type summary struct {
	by             grouping
	all            *requestStats
	rows           map[string]*requestStats
	moves          moveStats
	plannedAt      map[moveKey]float64
	events         map[string]int
	lines, spoiled int
	// leftOut counts answered requests that gateways have not logged.
	leftOut int
}

func newSummary(by grouping) *summary {
	s := &summary{
		by: by, all: &requestStats{}, rows: make(map[string]*requestStats), plannedAt: make(map[moveKey]float64),
		events: make(map[string]int),
	}
	for _, name := range countedEvents {
		s.events[name] = 0
	}
	return s
}

// add adds one line. What stands before its first brace is passed over; one that is no log line is
// counted.
func (s *summary) add(text []byte) {
	s.lines++
	i := bytes.IndexByte(text, '{')
	var l summaryLine
	if i < 0 || json.Unmarshal(text[i:], &l) != nil || l.Message == "" {
		s.spoiled++
		return
	}
	switch l.Message {
	case messageRequest:
		s.leftOut += l.LeftOut
		s.all.add(l)
		s.row(l).add(l)
	case messageRefused:
		s.refusedEarly(l)
	case messagePlanned:
		s.moves.planned++
		s.plannedAt[moveKey{l.Server, l.Model}] = l.At
	case messageLoaded:
		s.loaded(l)
	case messageAbandoned:
		s.moves.abandoned++
		delete(s.plannedAt, moveKey{l.Server, l.Model})
	default:
		if n, ok := s.events[l.Message]; ok {
			s.events[l.Message] = n + 1
		}
	}
}

// refusedEarly counts a request that was refused on its arrival. Its line names no model and no route; those over
// a limit that were not logged are of any organisation.
func (s *summary) refusedEarly(l summaryLine) {
	s.all.refusedEarly(l.Status)
	s.all.over += l.LeftOut
	if s.by != byModel && s.by != byRoute {
		s.row(l).refusedEarly(l.Status)
	}
}

// row returns the row of a request.
func (s *summary) row(l summaryLine) *requestStats {
	name := s.name(l)
	r := s.rows[name]
	if r == nil {
		r = &requestStats{}
		s.rows[name] = r
	}
	return r
}

func (s *summary) name(l summaryLine) string {
	switch s.by {
	case byRoute:
		return l.Route
	case byGateway:
		return l.VM
	case byOrganisation:
		return cmp.Or(l.Organisation, "-")
	case bySecond:
		arrived := l.At/1000 - l.TotalS
		return strconv.FormatInt(int64(math.Floor(arrived)), 10)
	}
	model, _, _ := strings.Cut(l.Model, "/")
	return cmp.Or(model, "-")
}

// loaded counts a model that was loaded.
func (s *summary) loaded(l summaryLine) {
	s.moves.loaded++
	key := moveKey{l.Server, l.Model}
	if at, ok := s.plannedAt[key]; ok {
		s.moves.took.add((l.At - at) / 1000)
		delete(s.plannedAt, key)
	}
}

// moveStats counts moves of models; took holds the seconds from plan to loaded.
type moveStats struct {
	planned, loaded, abandoned int
	took                       histogram
}

// requestStats adds up requests.
type requestStats struct {
	requests, answered, refused, cut, noHolder int
	// over counts requests over their organisation's limit, early others that were refused on arrival; neither is
	// among requests.
	over, early       int
	asked, denied     int
	waited, firstByte histogram
}

// refusedEarly counts a request that was refused on its arrival.
func (r *requestStats) refusedEarly(status int) {
	if status == http.StatusTooManyRequests {
		r.over++
		return
	}
	r.early++
}

func (r *requestStats) add(l summaryLine) {
	r.requests++
	r.asked += l.Asked
	r.denied += l.Denied
	switch l.Outcome {
	case "answered":
		r.answered++
	case "refused":
		r.refused++
		if l.Holders != nil && *l.Holders == 0 {
			r.noHolder++
		}
	case "cut":
		r.cut++
	}
	if l.Sends == 0 {
		r.waited.add(l.TotalS)
		return
	}
	r.waited.add(l.WaitedS)
	if l.FirstS > 0 {
		r.firstByte.add(l.FirstS)
	}
}
