// Package rapidtest makes property tests draw the same cases in each run.
//
// It owns nothing but the flags of package rapid that are not set by hand, and relies on being called from TestMain.
package rapidtest

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs a package's tests with a fixed seed and a number of cases for each property, unless flags of rapid say
// otherwise: more are drawn by hand (-rapid.seed, -rapid.checks). It returns the exit code.
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
