// Package rapidtest makes the property tests of a package reproducible: each run draws the same cases.
//
// It sets those flags of package rapid that the command line does not set. Run must be called from TestMain.
package rapidtest

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs a package's tests with a fixed seed and the given number of cases for each property. The flags
// -rapid.seed and -rapid.checks override them. Run returns the exit code.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks)} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
