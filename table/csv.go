package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxCSVBytes is the maximum number of bytes that ReadCSV reads, about a hundred times the size
// of the table that the system is designed for (docs/CAPACITY.md).
const maxCSVBytes = 8 << 20

// WriteCSV writes a header line and one line for each row.
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

// ReadCSV reads rows below a header line that names the columns in any order.
//
// An invalid header or cell is reported as a CheckError. If the row has no name, the error
// identifies it as "line N".
func ReadCSV(r io.Reader) ([]Row, error) {
	limited := &io.LimitedReader{R: r, N: maxCSVBytes + 1}
	in := csv.NewReader(limited)
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
		if limited.N == 0 {
			return nil, eris.Errorf("table: csv exceeds %d bytes", maxCSVBytes)
		}
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, eris.Wrap(err, "table: read csv")
		}
		line, _ := in.FieldPos(0)
		row, err := parseRow(header, cells, line)
		if err != nil {
			return nil, err
		}
		if firstLine, duplicate := seen[row.Name]; duplicate {
			return nil, CheckError{Row: row.Name, Column: columnName, Value: row.Name,
				Allowed: fmt.Sprintf("each name once; lines %d and %d have it", firstLine, line)}
		}
		seen[row.Name] = line
		rows = append(rows, row)
	}
}

// checkHeader verifies that the header has only known columns, none of them twice, and
// includes the name column.
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

// parseRow parses one line. Columns missing from the header get their default values.
func parseRow(header, cells []string, line int) (Row, error) {
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
