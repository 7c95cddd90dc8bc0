package table_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rockcleat/table"
)

// TestReadCSVTooLong checks that a table that is too long is rejected and not cut.
func TestReadCSVTooLong(t *testing.T) {
	const tooLong = 9 << 20
	text := "name\n" + strings.Repeat("\n", tooLong)
	_, err := table.ReadCSV(strings.NewReader(text))
	assert.ErrorContains(t, err, "exceeds")
}
