package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxCSV bounds what ReadCSV reads, in bytes: some hundred times the table of 510 models
// (docs/CAPACITY.md).
const maxCSV = 8 << 20

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
			return nil, CheckError{Row: row.Name, Column: columnName, Value: row.Name,
				Allowed: fmt.Sprintf("each name once; lines %d and %d have it", first, line)}
		}
		seen[row.Name] = line
		rows = append(rows, row)
	}
}

// checkHeader returns an error unless the header names each column at most once, and the
// name at all.
func checkHeader(header []string) error {
	seen := make(map[string]bool)
	for _, c := range header {
		if !slices.Contains(Columns, c) || seen[c] {
			return CheckError{Row: "header", Column: c, Value: c,
				Allowed: "each once of " + strings.Join(Columns, ", ")}
		}
		seen[c] = true
	}
	if !seen[columnName] {
		return CheckError{Row: "header", Column: columnName, Allowed: "a column name"}
	}
	return nil
}

// rowOf returns the row of one line; columns that the header leaves out have their defaults.
func rowOf(header, cells []string, line int) (Row, error) {
	row := NewRow(cells[slices.Index(header, columnName)])
	if row.Name == "" {
		row.Name = fmt.Sprintf("line %d", line)
	}
	for i, c := range header {
		if c == columnName {
			continue
		}
		if err := row.Set(c, cells[i]); err != nil {
			return Row{}, err
		}
	}
	return row, nil
}
