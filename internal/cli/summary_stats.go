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

// A grouping is the attribute by which a summary groups requests into rows.
type grouping string

const (
	byModel        grouping = "model"
	byRoute        grouping = "route"
	bySecond       grouping = "second"
	byGateway      grouping = "gateway"
	byOrganisation grouping = "organisation"
)

// groupings are all groupings in the order of the help text.
var groupings = []grouping{byModel, byRoute, bySecond, byGateway, byOrganisation}

func (g grouping) isKnown() bool { return slices.Contains(groupings, g) }

// A summaryLine holds the fields of a log line that a summary uses. At is in milliseconds since the
// Unix epoch.
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
	// Organisation is the owner of the API key. Status is the response status of a request that was
	// refused on arrival.
	Organisation string `json:"customer"`
	Status       int    `json:"status"`
}

// Log messages whose fields a summary evaluates.
const (
	messageRequest   = "request ended"
	messageRefused   = "request refused"
	messagePlanned   = "move planned"
	messageLoaded    = "model loaded"
	messageAbandoned = "move abandoned"
)

// countedEvents are log messages that a summary only counts: changes of leadership, failures, and
// operation without the leader or the store.
var countedEvents = []string{
	"leadership gained", "leadership lost", "owner did not answer", "quarantine ended", "report unanswered",
	"request quarantined", "sent again", "server ended", "server entry not usable", "server gone", "server limit",
	"server restarted",
	"started", "store no longer followed through", "store unreachable",
	"watching the store directly",
}

// A moveKey identifies a planned move of a model to a server.
type moveKey struct{ server, model string }

// A summary aggregates log lines. Its memory grows with the number of rows and of unfinished moves,
// not with the number of lines.
type summary struct {
	by               grouping
	all              *requestStats
	rows             map[string]*requestStats
	moves            moveStats
	plannedAt        map[moveKey]float64
	events           map[string]int
	lines, malformed int
	// unlogged counts answered requests that gateways did not log because of the rate limit of their logs.
	unlogged int
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

// add adds one line. Text before the first brace is ignored. A line that is not a JSON log line is
// counted as malformed.
func (s *summary) add(text []byte) {
	s.lines++
	i := bytes.IndexByte(text, '{')
	var l summaryLine
	if i < 0 || json.Unmarshal(text[i:], &l) != nil || l.Message == "" {
		s.malformed++
		return
	}
	switch l.Message {
	case messageRequest:
		s.unlogged += l.LeftOut
		s.all.add(l)
		s.row(l).add(l)
	case messageRefused:
		s.addRefusedOnArrival(l)
	case messagePlanned:
		s.moves.planned++
		s.plannedAt[moveKey{l.Server, l.Model}] = l.At
	case messageLoaded:
		s.addLoaded(l)
	case messageAbandoned:
		s.moves.abandoned++
		delete(s.plannedAt, moveKey{l.Server, l.Model})
	default:
		if n, ok := s.events[l.Message]; ok {
			s.events[l.Message] = n + 1
		}
	}
}

// addRefusedOnArrival counts a request that was refused on arrival. Its line names no model and no route.
// Requests over a limit that were not logged count only in the total, since their organisations are unknown.
func (s *summary) addRefusedOnArrival(l summaryLine) {
	s.all.addRefusedOnArrival(l.Status)
	s.all.overLimit += l.LeftOut
	if s.by != byModel && s.by != byRoute {
		s.row(l).addRefusedOnArrival(l.Status)
	}
}

// row returns the row that the request belongs to, which it creates if necessary.
func (s *summary) row(l summaryLine) *requestStats {
	name := s.rowName(l)
	r := s.rows[name]
	if r == nil {
		r = &requestStats{}
		s.rows[name] = r
	}
	return r
}

func (s *summary) rowName(l summaryLine) string {
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

// addLoaded counts a loaded model and, if its plan was read before, the time from plan to load.
func (s *summary) addLoaded(l summaryLine) {
	s.moves.loaded++
	key := moveKey{l.Server, l.Model}
	if at, ok := s.plannedAt[key]; ok {
		s.moves.planToLoad.add((l.At - at) / 1000)
		delete(s.plannedAt, key)
	}
}

// moveStats counts moves of models. planToLoad holds the times from plan to load.
type moveStats struct {
	planned, loaded, abandoned int
	planToLoad                 histogram
}

// requestStats aggregates the requests of one row.
type requestStats struct {
	requests, answered, refused, cut, noHolder int
	// overLimit counts requests that were refused on arrival because of a rate limit, refusedOnArrival those refused
	// for another reason. Neither is included in requests.
	overLimit, refusedOnArrival           int
	admissionsRequested, admissionsDenied int
	waited, firstByte                     histogram
}

// addRefusedOnArrival counts a request that was refused on arrival with the given status.
func (r *requestStats) addRefusedOnArrival(status int) {
	if status == http.StatusTooManyRequests {
		r.overLimit++
		return
	}
	r.refusedOnArrival++
}

func (r *requestStats) add(l summaryLine) {
	r.requests++
	r.admissionsRequested += l.Asked
	r.admissionsDenied += l.Denied
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
