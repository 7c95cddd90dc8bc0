package table

import (
	"strconv"
	"strings"
	"time"
)

// columnName is the only mandatory column.
const columnName = "name"

// Default values of empty cells.
const (
	defaultWeight = 1
	// defaultShare is in percent and means no limit.
	defaultShare = maxShare
	// defaultQueueTime is the time after which an interactive caller is assumed to give up.
	defaultQueueTime = 10 * time.Second
)

// A column converts one field of a row to and from its text form.
type column struct {
	name string
	// suffix is an optional suffix of a cell's text, such as a percent sign.
	suffix string
	// get formats the field.
	get func(r Row) string
	// set parses the field. If value is malformed, ok is false and allowed describes the
	// permitted values.
	set func(r *Row, value string) (allowed string, ok bool)
}

// columns lists the columns in CSV order.
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

// Columns lists the column names in CSV order.
var Columns = columnNames()

func columnNames() []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

// textColumn returns a text column. It accepts any text, which Table.Check validates.
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

// numberColumn returns a column of integers. An empty cell gets the default value.
func numberColumn(name, suffix string, defaultValue int, field func(*Row) *int) column {
	return column{
		name: name, suffix: suffix,
		get: func(r Row) string { return strconv.Itoa(*field(&r)) },
		set: func(r *Row, value string) (string, bool) {
			if value == "" {
				*field(r) = defaultValue
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

// setQueueTime parses the queue time. An empty value sets the default.
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

// NewRow returns a row of kind KindModel and tier TierStandard with the default weight,
// share and queue time.
func NewRow(name string) Row {
	return Row{
		Name: name, Kind: KindModel, Tier: TierStandard,
		Weight: defaultWeight, Share: defaultShare, QueueTime: defaultQueueTime,
	}
}

// Set parses value and assigns it to the named column. Its errors are of type CheckError.
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

// Cells returns the text of the row's cells in the order of Columns.
func (r Row) Cells() []string {
	cells := make([]string, len(columns))
	for i, c := range columns {
		cells[i] = c.get(r)
	}
	return cells
}
