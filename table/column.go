package table

import (
	"strconv"
	"strings"
	"time"
)

// columnName is the column that every row must have.
const columnName = "name"

// Defaults of columns that an operator leaves empty.
const (
	// defaultWeight makes rows of one tier equal.
	defaultWeight = 1
	// defaultShare is no limit, in percent.
	defaultShare = maxShare
	// defaultQueueTime is the time that a caller of a chat waits before it gives up.
	defaultQueueTime = 10 * time.Second
)

// A column is one column of the table in its written form.
type column struct {
	name string
	// suffix may follow a cell's value.
	suffix string
	// get returns a cell's written form; set sets it and reports whether the value could
	// be read, or else what is allowed.
	get func(r Row) string
	set func(r *Row, value string) (allowed string, ok bool)
}

// columns lists the table's columns in the order of its CSV form.
var columns = []column{
	textColumn(columnName, func(r *Row) *string { return &r.Name }),
	textColumn("kind", func(r *Row) *string { return (*string)(&r.Kind) }),
	textColumn("base", func(r *Row) *string { return &r.Base }),
	textColumn("customer", func(r *Row) *string { return &r.Organisation }),
	textColumn("tier", func(r *Row) *string { return (*string)(&r.Tier) }),
	numberColumn("weight", "", defaultWeight, func(r *Row) *int { return &r.Weight }),
	numberColumn("share", "%", defaultShare, func(r *Row) *int { return &r.Share }),
	numberColumn("concurrency", "", 0, func(r *Row) *int { return &r.Concurrency }),
	{name: "queue_time", get: func(r Row) string { return r.QueueTime.String() }, set: (*Row).setQueueTime},
	textColumn("path", func(r *Row) *string { return &r.Path }),
}

// Columns lists the names of the table's columns in the order of its CSV form.
var Columns = columnNames()

func columnNames() []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

// textColumn returns a column whose cells are text; Check says which text is allowed.
func textColumn(name string, field func(*Row) *string) column {
	return column{
		name: name,
		get:  func(r Row) string { return *field(&r) },
		set: func(r *Row, value string) (string, bool) {
			*field(r) = value
			return "", true
		},
	}
}

// numberColumn returns a column of whole numbers; an empty cell has the default.
func numberColumn(name, suffix string, absent int, field func(*Row) *int) column {
	return column{
		name: name, suffix: suffix,
		get: func(r Row) string { return strconv.Itoa(*field(&r)) },
		set: func(r *Row, value string) (string, bool) {
			if value == "" {
				*field(r) = absent
				return "", true
			}
			n, err := strconv.Atoi(value)
			if err != nil {
				return "a whole number", false
			}
			*field(r) = n
			return "", true
		},
	}
}

// setQueueTime sets the queue time; an empty cell has the default.
func (r *Row) setQueueTime(value string) (string, bool) {
	if value == "" {
		r.QueueTime = defaultQueueTime
		return "", true
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return "a duration such as 1500ms or 30s", false
	}
	r.QueueTime = d
	return "", true
}

// NewRow returns a row with the defaults of all columns.
func NewRow(name string) Row {
	return Row{
		Name: name, Kind: KindModel, Tier: TierStandard,
		Weight: defaultWeight, Share: defaultShare, QueueTime: defaultQueueTime,
	}
}

// Set sets a column from its written form; the error is a CheckError.
func (r *Row) Set(name, value string) error {
	value = strings.TrimSpace(value)
	for _, c := range columns {
		if c.name != name {
			continue
		}
		value = strings.TrimSuffix(value, c.suffix)
		if allowed, ok := c.set(r, value); !ok {
			return CheckError{Row: r.Name, Column: name, Value: value, Allowed: allowed}
		}
		return nil
	}
	return CheckError{Row: r.Name, Column: name, Value: value, Allowed: "one of the columns " + strings.Join(Columns, ", ")}
}

// Cells returns the row's written form in the order of Columns.
func (r Row) Cells() []string {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = c.get(r)
	}
	return cells
}
