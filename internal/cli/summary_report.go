package cli

import (
	"cmp"
	"slices"
	"strings"
)

// A summaryRow is one row of a report. AskedEach and DeniedEach are the mean numbers per request of
// admissions requested from other gateways and denied by them. Times are in seconds.
type summaryRow struct {
	Name         string  `json:"name"`
	Requests     int     `json:"requests"`
	Answered     int     `json:"answered"`
	Refused      int     `json:"refused"`
	Cut          int     `json:"cut"`
	Other        int     `json:"other"`
	NoHolder     int     `json:"no_holder"`
	OverLimit    int     `json:"over_limit"`
	RefusedEarly int     `json:"refused_early"`
	AskedEach    float64 `json:"asked_each"`
	DeniedEach   float64 `json:"denied_each"`
	WaitP50      float64 `json:"wait_p50_s"`
	WaitP99      float64 `json:"wait_p99_s"`
	FirstByteP50 float64 `json:"first_byte_p50_s"`
	FirstByteP99 float64 `json:"first_byte_p99_s"`
}

// A summaryMoves counts moves of models. The quantiles are of the time from plan to load, in seconds.
type summaryMoves struct {
	Planned         int     `json:"planned"`
	Loaded          int     `json:"loaded"`
	Abandoned       int     `json:"abandoned"`
	PlanToLoadedP50 float64 `json:"plan_to_loaded_p50_s"`
	PlanToLoadedP90 float64 `json:"plan_to_loaded_p90_s"`
}

// A summaryEvent is the number of log lines with one message.
type summaryEvent struct {
	Name  string `json:"name"`
	Count int    `json:"times"`
}

// A summaryReport is the output of a summary.
type summaryReport struct {
	By        grouping       `json:"by"`
	Rows      []summaryRow   `json:"rows"`
	All       summaryRow     `json:"all"`
	Moves     summaryMoves   `json:"moves"`
	Events    []summaryEvent `json:"events"`
	LeftOut   int            `json:"left_out"`
	Lines     int            `json:"lines"`
	Malformed int            `json:"spoiled"`
}

// report returns the report with at most maxRows rows, or all rows if maxRows is 0. Rows with the most
// refused requests come first and are kept. Rows of seconds are then sorted by time.
func (s *summary) report(maxRows int) *summaryReport {
	r := &summaryReport{By: s.by, All: s.all.row("all"), LeftOut: s.unlogged, Lines: s.lines, Malformed: s.malformed, Moves: summaryMoves{
		Planned: s.moves.planned, Loaded: s.moves.loaded, Abandoned: s.moves.abandoned,
		PlanToLoadedP50: s.moves.planToLoad.quantile(0.5), PlanToLoadedP90: s.moves.planToLoad.quantile(0.9),
	}}
	for name, stats := range s.rows {
		r.Rows = append(r.Rows, stats.row(name))
	}
	slices.SortFunc(r.Rows, func(x, y summaryRow) int {
		return cmp.Or(
			cmp.Compare(y.Refused, x.Refused),
			cmp.Compare(y.OverLimit, x.OverLimit),
			cmp.Compare(y.Requests, x.Requests),
			strings.Compare(x.Name, y.Name),
		)
	})
	if maxRows > 0 && len(r.Rows) > maxRows {
		r.Rows = r.Rows[:maxRows]
	}
	if s.by == bySecond {
		slices.SortFunc(r.Rows, func(x, y summaryRow) int { return strings.Compare(x.Name, y.Name) })
	}
	for _, name := range countedEvents {
		r.Events = append(r.Events, summaryEvent{Name: name, Count: s.events[name]})
	}
	return r
}

func (r *requestStats) row(name string) summaryRow {
	each := func(n int) float64 { return float64(n) / float64(max(r.requests, 1)) }
	return summaryRow{
		Name: name, Requests: r.requests, Answered: r.answered, Refused: r.refused, Cut: r.cut,
		Other: r.requests - r.answered - r.refused - r.cut, NoHolder: r.noHolder,
		OverLimit: r.overLimit, RefusedEarly: r.refusedOnArrival,
		AskedEach: each(r.admissionsRequested), DeniedEach: each(r.admissionsDenied),
		WaitP50: r.waited.quantile(0.5), WaitP99: r.waited.quantile(0.99),
		FirstByteP50: r.firstByte.quantile(0.5), FirstByteP99: r.firstByte.quantile(0.99),
	}
}
