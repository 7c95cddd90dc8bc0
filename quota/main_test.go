package quota_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the property tests draw the same cases in each run, unless flags of rapid say otherwise; more
// are drawn by hand (-rapid.seed, -rapid.checks).
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
