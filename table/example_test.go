package table_test

import (
	"fmt"
	"strings"

	"rockcleat/table"
)

// An invalid cell is reported with its row and column.
func ExampleReadCSV() {
	_, err := table.ReadCSV(strings.NewReader("name,kind,tier,weight\nhint,model,premium,heavy\n"))
	fmt.Println(err)
	// Output: table: row "hint", column weight: "heavy" is not allowed; allowed: a whole number
}
