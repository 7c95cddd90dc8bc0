package table_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/table"
)

func TestReadCSVErrors(t *testing.T) {
	tests := map[string]struct {
		text   string
		row    string
		column string
	}{
		"unknown column": {"name,colour\nm,red\n", "header", "colour"},
		"column twice":   {"name,tier,tier\nm,economy,economy\n", "header", "tier"},
		"no name column": {"kind\nmodel\n", "header", "name"},
		"weight a word":  {"name,weight\nm,heavy\n", "m", "weight"},
		"no unit":        {"name,queue_time\nm,5\n", "m", "queue_time"},
		"name twice":     {"name\nm\nm\n", "m", "name"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := table.ReadCSV(strings.NewReader(tc.text))
			var check table.CheckError
			assert.Assert(t, errors.As(err, &check), "%v", err)
			assert.Equal(t, check.Row, tc.row)
			assert.Equal(t, check.Column, tc.column)
		})
	}
}

func TestReadCSVDefaults(t *testing.T) {
	rows, err := table.ReadCSV(strings.NewReader("name,share,weight\nm,50%,\n"))
	assert.NilError(t, err)
	want := table.NewRow("m")
	want.Share = 50
	assert.DeepEqual(t, rows, []table.Row{want})
}

// FuzzReadCSV checks that valid rows are unchanged after WriteCSV and ReadCSV.
func FuzzReadCSV(f *testing.F) {
	f.Add("name,kind,base,customer,tier,weight,share,concurrency,queue_time,path\nm,model,,guild,premium,1,100,0,1s,\n")
	f.Add("name\n\"a\"\"b\"\n")
	f.Add("name,queue_time\nm,-5ms\n")
	f.Fuzz(func(t *testing.T, text string) {
		rows, err := table.ReadCSV(strings.NewReader(text))
		if err != nil || len((&table.Table{}).Apply(newEdit(rows), 1).Check()) > 0 {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, table.WriteCSV(&out, rows))
		again, err := table.ReadCSV(&out)
		assert.NilError(t, err)
		assert.DeepEqual(t, rows, again)
	})
}

func newEdit(rows []table.Row) table.Edit {
	return table.Edit{Changes: table.Diff(nil, rows, false)}
}
