package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Columns lists the table's columns in the order of its CSV form.
var Columns = []string{
	"name", "kind", "base", "customer", "tier", "weight", "share", "concurrency", "queue_time", "path",
}

// Defaults of columns that an operator leaves empty.
const (
	defaultWeight    = 1
	defaultShare     = maxShare
	defaultQueueTime = 10 * time.Second
)

// maxCSV bounds what ReadCSV takes in, in bytes.
const maxCSV = 8 << 20

// NewRow returns a row with the defaults of all columns.
func NewRow(name string) Row {
	return Row{
		Name: name, Kind: KindModel, Tier: TierStandard,
		Weight: defaultWeight, Share: defaultShare, QueueTime: defaultQueueTime,
	}
}

// Set sets a column from its written form; the error is a CheckError.
func (r *Row) Set(column, value string) error {
	value = strings.TrimSpace(value)
	switch column {
	case "name":
		r.Name = value
	case "kind":
		r.Kind = Kind(value)
	case "base":
		r.Base = value
	case "customer":
		r.Customer = value
	case "tier":
		r.Tier = Tier(value)
	case "path":
		r.Path = value
	case "weight":
		return r.setInt(&r.Weight, column, value, defaultWeight)
	case "share":
		return r.setInt(&r.Share, column, strings.TrimSuffix(value, "%"), defaultShare)
	case "concurrency":
		return r.setInt(&r.Concurrency, column, value, 0)
	case "queue_time":
		return r.setDuration(value)
	default:
		return CheckError{Row: r.Name, Column: column, Value: value,
			Allowed: "one of the columns " + strings.Join(Columns, ", ")}
	}
	return nil
}

func (r *Row) setInt(field *int, column, value string, absent int) error {
	if value == "" {
		*field = absent
		return nil
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return CheckError{Row: r.Name, Column: column, Value: value, Allowed: "a whole number"}
	}
	*field = n
	return nil
}

func (r *Row) setDuration(value string) error {
	if value == "" {
		r.QueueTime = defaultQueueTime
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return CheckError{Row: r.Name, Column: "queue_time", Value: value,
			Allowed: "a duration such as 1500ms or 30s"}
	}
	r.QueueTime = d
	return nil
}

// Cells returns the row's written form in the order of Columns.
func (r Row) Cells() []string {
	return []string{
		r.Name, string(r.Kind), r.Base, r.Customer, string(r.Tier),
		strconv.Itoa(r.Weight), strconv.Itoa(r.Share), strconv.Itoa(r.Concurrency),
		r.QueueTime.String(), r.Path,
	}
}

// WriteCSV writes a header and one line a row.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(Columns); err != nil {
		return eris.Wrap(err, "table: write csv")
	}
	for _, r := range rows {
		if err := out.Write(r.Cells()); err != nil {
			return eris.Wrap(err, "table: write csv")
		}
	}
	out.Flush()
	return eris.Wrap(out.Error(), "table: write csv")
}

// ReadCSV reads rows under a header that names the columns in any order.
//
// A cell's error is a CheckError, its row named "line N" while it has no name.
func ReadCSV(r io.Reader) ([]Row, error) {
	in := csv.NewReader(io.LimitReader(r, maxCSV))
	header, err := in.Read()
	if err != nil {
		return nil, eris.Wrap(err, "table: read csv header")
	}
	if err := checkHeader(header); err != nil {
		return nil, err
	}
	var rows []Row
	seen := make(map[string]int)
	for {
		cells, err := in.Read()
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "table: read csv")
		}
		line, _ := in.FieldPos(0)
		row, err := rowOf(header, cells, line)
		if err != nil {
			return nil, err
		}
		if first, twice := seen[row.Name]; twice {
			return nil, CheckError{Row: row.Name, Column: "name", Value: row.Name,
				Allowed: fmt.Sprintf("each name once; lines %d and %d have it", first, line)}
		}
		seen[row.Name] = line
		rows = append(rows, row)
	}
}

func checkHeader(header []string) error {
	seen := make(map[string]bool)
	for _, c := range header {
		if !slices.Contains(Columns, c) || seen[c] {
			return CheckError{Row: "header", Column: c, Value: c,
				Allowed: "each once of " + strings.Join(Columns, ", ")}
		}
		seen[c] = true
	}
	if !seen["name"] {
		return CheckError{Row: "header", Column: "name", Allowed: "a column name"}
	}
	return nil
}

func rowOf(header, cells []string, line int) (Row, error) {
	row := NewRow(cells[slices.Index(header, "name")])
	if row.Name == "" {
		row.Name = fmt.Sprintf("line %d", line)
	}
	for i, c := range header {
		if c == "name" {
			continue
		}
		if err := row.Set(c, cells[i]); err != nil {
			return Row{}, err
		}
	}
	return row, nil
}
