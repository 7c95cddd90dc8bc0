// Package rapidtest makes the property tests of a package reproducible: each run draws the same cases.
//
// It sets those flags of package rapid that the command line does not set. Run must be called from TestMain.
package rapidtest

import (
	"flag"
	"strconv"
	"testing"
)

const flagChecks = "rapid.checks"

// checksGiven reports whether the command line sets the number of cases.
var checksGiven bool

// Run runs a package's tests with a fixed seed and the given number of cases for each property. The flags
// -rapid.seed and -rapid.checks override them. Run returns the exit code.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == flagChecks })
	for name, value := range map[string]string{"rapid.seed": "1", flagChecks: strconv.Itoa(checks)} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		set(name, value)
	}
	return m.Run()
}

// LimitChecks sets the number of cases of the properties of one test, its subtests included. The flag -rapid.checks
// overrides it. The test must not run in parallel with other tests; its subtests may.
func LimitChecks(t testing.TB, checks int) {
	if checksGiven {
		return
	}
	before := flag.Lookup(flagChecks).Value.String()
	set(flagChecks, strconv.Itoa(checks))
	t.Cleanup(func() { set(flagChecks, before) })
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
