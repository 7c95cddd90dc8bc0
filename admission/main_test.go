package admission

import (
	"os"
	"testing"

	"rockcleat/internal/rapidtest"
)

// TestMain makes the cases of the property tests the same in each run.
func TestMain(m *testing.M) { os.Exit(rapidtest.Run(m, 60)) }
